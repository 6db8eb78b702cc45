#include <base/eventlog.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{ 1h };

std::size_t linesWith(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

std::size_t lines(const std::string &text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

// Guards against a log that grows with the load: 20,000 decisions in a second.
BOOST_AUTO_TEST_CASE(burstIsBoundedAndSaysWhatWasDropped)
{
    EventLog log(-1, "p");
    for (std::uint64_t number = 0; number < 20'000; ++number)
        log.write(start, "step.started", { { "step", number } });
    BOOST_TEST(lines(log.buffered()) == EventLog::Limits().linesPerSecond);
    log.write(start + 1s, "next", {});
    BOOST_TEST(log.dropped() == 18'000U);
    BOOST_TEST(linesWith(log.buffered(), R"("event":"log.dropped","lines":18000)") == 1U);
}

// Guards against decisions that are missing from the log of the seconds in which most happens.
BOOST_AUTO_TEST_CASE(linesThatCanBeSparedPushOutNoOthers)
{
    EventLog log(-1, "p");
    for (std::uint64_t number = 0; number < 10'000; ++number)
        log.writeRoutine(start, "run.ended", { { "run", number } });
    log.write(start + 500ms, "shard.recovered", {});
    BOOST_TEST(linesWith(log.buffered(), R"("event":"shard.recovered")") == 1U);
    BOOST_TEST(linesWith(log.buffered(), R"("event":"run.ended")")
               == EventLog::Limits().linesPerSecond / 2);
}

// Guards against long lines that pass the bound on lines only.
BOOST_AUTO_TEST_CASE(bytesASecondAreBounded)
{
    EventLog::Limits limits;
    limits.bytesPerSecond = 10'000;
    EventLog log(-1, "p", limits);
    for (std::uint64_t number = 0; number < 1'000; ++number)
        log.write(start, "e", { { "text", std::string(500, 'x') }, { "n", number } });
    BOOST_TEST(log.buffered().size() < 2 * limits.bytesPerSecond);
    BOOST_TEST(log.dropped() > 900U);
}

// An hour in which the same dependency fails 50 times a second leaves two lines a second.
BOOST_AUTO_TEST_CASE(repeatedLinesOfAnOutageAreSummed)
{
    EventLog::Limits limits;
    limits.bufferBytes = 64UL * 1024UL * 1024UL;
    EventLog log(-1, "p", limits);
    constexpr int seconds = 3600;
    for (int second = 0; second < seconds; ++second) {
        for (int call = 0; call < 50; ++call)
            log.write(start + second * 1s + call * 20ms, "store.failed", { { "step", "read" } });
    }
    BOOST_TEST(lines(log.buffered()) <= 2U * seconds);
    BOOST_TEST(linesWith(log.buffered(), R"("of":"store.failed","times":49)") == seconds - 1U);
    BOOST_TEST(log.dropped() == 0U);
}

// Guards against a daemon that waits for whoever reads its output.
BOOST_AUTO_TEST_CASE(readerThatStopsBlocksNothing)
{
    int ends[2];
    BOOST_REQUIRE(pipe(ends) == 0);
    EventLog log(ends[1], "p");
    for (std::uint64_t number = 0; number < 1'000'000; ++number)
        log.write(start + number * 1ms, "e", { { "n", number } });
    BOOST_TEST(!log.flush());
    BOOST_TEST(log.dropped() > 0U);
    BOOST_TEST(log.buffered().size() < 2 * EventLog::Limits().bufferBytes);
    close(ends[0]);
    close(ends[1]);
}

// Guards against lines that are cut where the log is handed on in pieces.
BOOST_AUTO_TEST_CASE(piecesEndAtTheEndOfALine)
{
    int ends[2];
    // Such a socket keeps the bounds of each write.
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends) == 0);
    EventLog log(ends[1], "p");
    for (std::uint64_t number = 0; number < 100; ++number)
        log.write(start, "e", { { "n", number } });
    BOOST_TEST(log.flush());
    std::string piece(65'536, '\0');
    const auto size = read(ends[0], piece.data(), piece.size());
    BOOST_REQUIRE(size > 0);
    BOOST_TEST(piece.at(static_cast<std::size_t>(size) - 1) == '\n');
    close(ends[0]);
    close(ends[1]);
}

// Guards against a timer that wakes a daemon with nothing to say.
BOOST_AUTO_TEST_CASE(waitingLinesAreAnnouncedOnce)
{
    int ends[2];
    BOOST_REQUIRE(pipe(ends) == 0);
    int announced = 0;
    EventLog log(ends[1], "p");
    log.onWaiting([&announced] { ++announced; });
    log.write(start, "a", {});
    log.write(start, "b", {});
    BOOST_TEST(announced == 1);
    BOOST_TEST(log.flush());
    log.write(start, "c", {});
    BOOST_TEST(announced == 2);
    close(ends[0]);
    close(ends[1]);
}

BOOST_AUTO_TEST_CASE(linesCarryTheTimeOfDay)
{
    EventLog log(-1, "p", {}, [] { return std::chrono::system_clock::time_point(1234ms); });
    log.write(start, "e", { { "text", "a\"b" } });
    BOOST_TEST(log.buffered()
               == "{\"t\":3600000,\"time\":1234,\"process\":\"p\",\"event\":\"e\","
                  "\"text\":\"a\\\"b\"}\n");
}
