#include <base/eventlog.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{ 1h };

std::size_t countOccurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

std::size_t lineCount(const std::string &text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

// Guards against a log volume that grows with the load: 20,000 lines within one second.
BOOST_AUTO_TEST_CASE(burstIsRateLimitedAndDroppedLinesAreReported)
{
    EventLog log(-1, "p");
    for (std::uint64_t number = 0; number < 20'000; ++number)
        log.write(start, "step.started", { { "step", number } });
    BOOST_TEST(lineCount(log.buffered()) == EventLog::Limits().linesPerSecond);
    log.write(start + 1s, "next", {});
    BOOST_TEST(log.dropped() == 18'000U);
    BOOST_TEST(countOccurrences(log.buffered(), R"("event":"log.dropped","lines":18000)") == 1U);
}

// Guards against important lines being dropped during a burst of low-priority lines.
BOOST_AUTO_TEST_CASE(routineLinesDoNotDisplaceOthers)
{
    EventLog log(-1, "p");
    for (std::uint64_t number = 0; number < 10'000; ++number)
        log.writeRoutine(start, "run.ended", { { "run", number } });
    log.write(start + 500ms, "shard.recovered", {});
    BOOST_TEST(countOccurrences(log.buffered(), R"("event":"shard.recovered")") == 1U);
    BOOST_TEST(countOccurrences(log.buffered(), R"("event":"run.ended")")
               == EventLog::Limits().linesPerSecond / 2);
}

// Guards against long lines that exceed the intended volume although their number is within the
// limit.
BOOST_AUTO_TEST_CASE(bytesPerSecondAreLimited)
{
    EventLog::Limits limits;
    limits.bytesPerSecond = 10'000;
    EventLog log(-1, "p", limits);
    for (std::uint64_t number = 0; number < 1'000; ++number)
        log.write(start, "e", { { "text", std::string(500, 'x') }, { "n", number } });
    BOOST_TEST(log.buffered().size() < 2 * limits.bytesPerSecond);
    BOOST_TEST(log.dropped() > 900U);
}

// Guards against a log that an outage floods: an hour with 50 identical failures per second must
// produce at most two lines per second.
BOOST_AUTO_TEST_CASE(repeatedLinesOfAnOutageAreSummarized)
{
    EventLog::Limits limits;
    limits.bufferBytes = 64UL * 1024UL * 1024UL;
    EventLog log(-1, "p", limits);
    constexpr int seconds = 3600;
    for (int second = 0; second < seconds; ++second) {
        for (int call = 0; call < 50; ++call)
            log.write(start + second * 1s + call * 20ms, "store.failed", { { "step", "read" } });
    }
    BOOST_TEST(lineCount(log.buffered()) <= 2U * seconds);
    BOOST_TEST(countOccurrences(log.buffered(), R"("of":"store.failed","times":49)")
               == seconds - 1U);
    BOOST_TEST(log.dropped() == 0U);
}

// Guards against a daemon that blocks when the reader of its log stalls.
BOOST_AUTO_TEST_CASE(stalledReaderDoesNotBlockWrites)
{
    int fds[2];
    BOOST_REQUIRE(pipe(fds) == 0);
    EventLog log(fds[1], "p");
    for (std::uint64_t number = 0; number < 1'000'000; ++number)
        log.write(start + number * 1ms, "e", { { "n", number } });
    BOOST_TEST(!log.flush());
    BOOST_TEST(log.dropped() > 0U);
    BOOST_TEST(log.buffered().size() < 2 * EventLog::Limits().bufferBytes);
    close(fds[0]);
    close(fds[1]);
}

// Guards against lines that are split between two chunks written to the descriptor.
BOOST_AUTO_TEST_CASE(chunksEndAtLineBoundaries)
{
    int fds[2];
    // SOCK_SEQPACKET preserves the boundaries of each write.
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, fds) == 0);
    EventLog log(fds[1], "p");
    for (std::uint64_t number = 0; number < 100; ++number)
        log.write(start, "e", { { "n", number } });
    BOOST_TEST(log.flush());
    std::string chunk(65'536, '\0');
    const auto size = read(fds[0], chunk.data(), chunk.size());
    BOOST_REQUIRE(size > 0);
    BOOST_TEST(chunk.at(static_cast<std::size_t>(size) - 1) == '\n');
    close(fds[0]);
    close(fds[1]);
}

// Guards against needless wake-ups: the callback that schedules a flush is invoked only when the
// buffer was empty before.
BOOST_AUTO_TEST_CASE(callbackIsInvokedOncePerFlush)
{
    int fds[2];
    BOOST_REQUIRE(pipe(fds) == 0);
    int callbackCount = 0;
    EventLog log(fds[1], "p");
    log.onWaiting([&callbackCount] { ++callbackCount; });
    log.write(start, "a", {});
    log.write(start, "b", {});
    BOOST_TEST(callbackCount == 1);
    BOOST_TEST(log.flush());
    log.write(start, "c", {});
    BOOST_TEST(callbackCount == 2);
    close(fds[0]);
    close(fds[1]);
}

BOOST_AUTO_TEST_CASE(linesContainTimeOfDay)
{
    EventLog log(-1, "p", {}, [] { return std::chrono::system_clock::time_point(1234ms); });
    log.write(start, "e", { { "text", "a\"b" } });
    BOOST_TEST(log.buffered()
               == "{\"t\":3600000,\"time\":1234,\"process\":\"p\",\"event\":\"e\","
                  "\"text\":\"a\\\"b\"}\n");
}
