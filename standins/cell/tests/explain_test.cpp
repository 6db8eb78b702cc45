#include "testjobs.h"

#include <explain/jobreport.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t nodes = 3;

JobReport reportOf(const World &world, const std::string &job)
{
    std::vector<LogEntry> lines;
    for (std::uint32_t node = 0; node < nodes; ++node) {
        std::istringstream log(world.logOf(node));
        auto more = readLog(log);
        lines.insert(lines.end(), more.begin(), more.end());
    }
    return explain(job, std::move(lines));
}

/// Processes that logged \p event for the job, in chronological order.
std::vector<std::string> processesOf(const JobReport &report, const std::string &event)
{
    std::vector<std::string> result;
    for (const auto &line : report.events) {
        if (line.event == event)
            result.push_back(line.process);
    }
    return result;
}

bool hasFinding(const JobReport &report, const std::string &part)
{
    return std::any_of(
        report.findings.begin(), report.findings.end(),
        [&part](const std::string &sentence) { return sentence.find(part) != std::string::npos; });
}

bool contextContains(const JobReport &report, const std::string &event)
{
    return std::any_of(report.context.begin(), report.context.end(),
                       [&event](const LogEntry &line) { return line.event == event; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(explaining)

// The report of a job that was not accepted must point to the store outage.
BOOST_AUTO_TEST_CASE(refusedJobIsTracedToTheStore)
{
    World world({});
    world.run(startTime);
    world.setStoreFaultForAll(StoreFault::Refuse);
    world.run(seconds(2));
    std::optional<cell::SubmitResult> result;
    world.submit(follower(world), jobId(1), batch(1), &result);
    world.run(seconds(4));
    BOOST_REQUIRE((result == cell::SubmitResult::NotStored));
    const auto report = reportOf(world, jobId(1));
    BOOST_TEST(!processesOf(report, "job.refused").empty());
    BOOST_TEST(contextContains(report, "store.lost"));
    BOOST_TEST(hasFinding(report, "its calls of the store failed"));
}

// The first owner is killed after it started the job: the report must join the log lines of both
// owners.
BOOST_AUTO_TEST_CASE(lateJobIsTracedToTheKilledOwner)
{
    World world({});
    world.run(startTime);
    const auto first = world.owner().value();
    const auto entry = follower(world);
    world.submit(entry, jobId(2), chain(2, seconds(4)));
    world.run(milliseconds(600));
    world.kill(first);
    world.run(seconds(14));
    const auto second = world.owner().value();
    BOOST_REQUIRE(second != first);
    BOOST_REQUIRE((world.status(entry, jobId(2)) == cell::JobStatus::Completed));

    const auto report = reportOf(world, jobId(2));
    const auto name = [](std::uint32_t node) { return "node-" + std::to_string(node); };
    BOOST_TEST((processesOf(report, "job.accepted") == std::vector{ name(entry) }));
    BOOST_TEST((processesOf(report, "job.known") == std::vector{ name(first), name(second) }));
    BOOST_TEST(!processesOf(report, "step.started").empty());
    BOOST_TEST(processesOf(report, "step.started").front() == name(first));
    BOOST_TEST(!processesOf(report, "run.adopted").empty());
    BOOST_TEST((processesOf(report, "job.ended") == std::vector{ name(second) }));
    BOOST_TEST(contextContains(report, "shard.owned"));
    BOOST_TEST(hasFinding(report, "its owner changed"));
}

BOOST_AUTO_TEST_CASE(failedJobIsTracedToItsRunsAndWorkers)
{
    World world({});
    world.run(startTime);
    auto plan = batch(1);
    plan.failingRuns = { 1, 2 };
    world.submit(0, jobId(3), plan);
    world.run(seconds(4));
    BOOST_REQUIRE((world.status(0, jobId(3)) == cell::JobStatus::Failed));
    const auto report = reportOf(world, jobId(3));
    BOOST_TEST(processesOf(report, "task.failed").size() == 2U);
    BOOST_TEST(hasFinding(report, "(2 of 2 attempts)"));
    BOOST_TEST(hasFinding(report, "ended as failed"));
    BOOST_TEST(toText(report).find("worker-") != std::string::npos);
    BOOST_TEST(toJson(report)["findings"].size() == report.findings.size());
}

BOOST_AUTO_TEST_CASE(unknownJobIsReportedAsUnknown)
{
    std::istringstream log("no line of a log\n{\"event\":\"job.known\",\"job\":\"a\",\"t\":1}\n");
    const auto report = explain("b", readLog(log));
    BOOST_TEST(!report.found());
    BOOST_TEST(toText(report).find("no log names it") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
