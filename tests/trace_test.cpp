#include <burn/report.h>
#include <kernel/replay.h>

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

using namespace cowsliprock;

namespace {

/// Returns the paths of all traces. The expected outcomes of NAME.jsonl are in NAME.expected.json.
std::vector<std::filesystem::path> tracePaths()
{
    std::vector<std::filesystem::path> result;
    const std::filesystem::path folder(COWSLIPROCK_SOURCE_DIR "/tests/traces");
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".jsonl")
            result.push_back(entry.path());
    }
    std::sort(result.begin(), result.end());
    return result;
}

void checkCounts(const nlohmann::json &expected, const char *member,
                 const std::map<std::string, std::uint64_t> &counts)
{
    if (!expected.contains(member))
        return;
    for (const auto &[name, count] : expected.at(member).items()) {
        const auto found = counts.find(name);
        BOOST_TEST_CONTEXT(member << "." << name)
        BOOST_TEST((found == counts.end() ? 0 : found->second) == count.get<std::uint64_t>());
    }
}

} // namespace

// Guards against changed decisions for the inputs of recorded runs.
BOOST_AUTO_TEST_CASE(recordedTracesReplayToExpectedOutcomes)
{
    const auto paths = tracePaths();
    BOOST_TEST(!paths.empty());
    for (const auto &path : paths) {
        BOOST_TEST_CONTEXT(path.filename().string())
        {
            std::ifstream trace(path);
            const auto summary = replayTrace(trace);
            BOOST_REQUIRE_MESSAGE(summary.has_value(),
                                  (summary.has_error() ? summary.error().text() : ""));
            std::ifstream expectedFile(
                std::filesystem::path(path).replace_extension(".expected.json"));
            const auto expected = nlohmann::json::parse(expectedFile);
            checkCounts(expected, "answers", summary.value().answers);
            checkCounts(expected, "effects", summary.value().effects);
            BOOST_TEST(summary.value().violations == std::vector<std::string>(),
                       boost::test_tools::per_element());
        }
    }
}

// Guards against a checker that accepts everything, such as an answer to a request that never
// arrived.
BOOST_AUTO_TEST_CASE(checkerReportsViolations)
{
    InvariantChecker checker;
    effect::AnswerCaller answer;
    answer.request = RequestId("r-1");
    checker.observe(answer, TimePoint{});
    effect::CallEndpoint call;
    call.attempt = AttemptId("a-1");
    call.address = "127.0.0.1:1";
    checker.observe(call, TimePoint(std::chrono::seconds(1)));
    // The request is unknown, the lease has expired, and the call exceeds the slots of the
    // endpoint, which is unknown and so has none.
    BOOST_TEST(checker.violations().size() == 3U);
}

// Guards against caller errors in the burn report. Previously, a reused key counted as a missed
// deadline, and each unknown service name permanently occupied memory.
BOOST_AUTO_TEST_CASE(callerErrorsAreNotInBurnReport)
{
    Kernel kernel(KernelSettings{}, { "requests", "burn" });
    event::RequestArrived arrived;
    arrived.request = RequestId("r-1");
    arrived.profile.service = "no such service";
    arrived.profile.idempotent = true;
    const TimePoint now(std::chrono::seconds(1));
    static_cast<void>(kernel.handle(arrived, now));
    const auto effects = kernel.handle(event::OperatorCall{ OperationId("o"), "burn", "{}" }, now);
    BOOST_REQUIRE(effects.size() == 1U);
    const auto part = decodePart(std::get<effect::AnswerOperator>(effects.front()).body);
    BOOST_REQUIRE(part.has_value());
    BOOST_TEST(part.value().services.empty());
}
