#include <burn/report.h>
#include <kernel/replay.h>

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

using namespace cowsliprock;

namespace {

/// Each trace NAME.jsonl has its stated outcomes in NAME.expected.json.
std::vector<std::filesystem::path> traces()
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

// Guards against a change of the decisions that recorded runs depended on.
BOOST_AUTO_TEST_CASE(recordedTracesReplayToStatedOutcomes)
{
    const auto paths = traces();
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

// Guards against a checker that accepts everything: an answer to a request that never arrived.
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
    // Unknown request; after the lease; beyond the (unknown, so zero) slots.
    BOOST_TEST(checker.violations().size() == 3U);
}

// Guards against callers' faults in the burn report: a reused key once counted as a missed
// deadline, and each unknown service name took memory for good.
BOOST_AUTO_TEST_CASE(callersFaultsAreNotInTheBurnReport)
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
