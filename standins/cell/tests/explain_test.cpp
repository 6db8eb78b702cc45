#include "testjobs.h"

#include <explain/account.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t nodes = 3;

Account accountOf(const World &world, const std::string &job)
{
    std::vector<LogLine> lines;
    for (std::uint32_t node = 0; node < nodes; ++node) {
        std::istringstream log(world.logOf(node));
        auto more = readLog(log);
        lines.insert(lines.end(), more.begin(), more.end());
    }
    return explain(job, std::move(lines));
}

/// Processes that logged \p event of the job, in the order of time.
std::vector<std::string> processesOf(const Account &account, const std::string &event)
{
    std::vector<std::string> result;
    for (const auto &line : account.events) {
        if (line.event == event)
            result.push_back(line.process);
    }
    return result;
}

bool says(const Account &account, const std::string &part)
{
    return std::any_of(
        account.findings.begin(), account.findings.end(),
        [&part](const std::string &sentence) { return sentence.find(part) != std::string::npos; });
}

bool contextHas(const Account &account, const std::string &event)
{
    return std::any_of(account.context.begin(), account.context.end(),
                       [&event](const LogLine &line) { return line.event == event; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(explaining)

// From the id of a job that was answered with "not accepted" to the store that was away.
BOOST_AUTO_TEST_CASE(refusedJobLeadsToTheStore)
{
    World world({});
    world.run(startTime);
    world.storeFaultForAll(StoreFault::Refuse);
    world.run(seconds(2));
    std::optional<cell::SubmitResult> result;
    world.submit(follower(world), jobId(1), batch(1), &result);
    world.run(seconds(4));
    BOOST_REQUIRE((result == cell::SubmitResult::NotStored));
    const auto account = accountOf(world, jobId(1));
    BOOST_TEST(!processesOf(account, "job.refused").empty());
    BOOST_TEST(contextHas(account, "store.lost"));
    BOOST_TEST(says(account, "its calls of the store failed"));
}

// The first owner dies after it started the job: its lines and those of the second make one chain.
BOOST_AUTO_TEST_CASE(lateJobLeadsToTheOwnerThatDied)
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

    const auto account = accountOf(world, jobId(2));
    const auto name = [](std::uint32_t node) { return "node-" + std::to_string(node); };
    BOOST_TEST((processesOf(account, "job.accepted") == std::vector{ name(entry) }));
    BOOST_TEST((processesOf(account, "job.known") == std::vector{ name(first), name(second) }));
    BOOST_TEST(!processesOf(account, "step.started").empty());
    BOOST_TEST(processesOf(account, "step.started").front() == name(first));
    BOOST_TEST(!processesOf(account, "run.adopted").empty());
    BOOST_TEST((processesOf(account, "job.ended") == std::vector{ name(second) }));
    BOOST_TEST(contextHas(account, "shard.owned"));
    BOOST_TEST(says(account, "its owner changed"));
}

BOOST_AUTO_TEST_CASE(failedJobLeadsToItsRunsAndWorkers)
{
    World world({});
    world.run(startTime);
    auto plan = batch(1);
    plan.failingRuns = { 1, 2 };
    world.submit(0, jobId(3), plan);
    world.run(seconds(4));
    BOOST_REQUIRE((world.status(0, jobId(3)) == cell::JobStatus::Failed));
    const auto account = accountOf(world, jobId(3));
    BOOST_TEST(processesOf(account, "task.failed").size() == 2U);
    BOOST_TEST(says(account, "(2 of 2 attempts)"));
    BOOST_TEST(says(account, "ended as failed"));
    BOOST_TEST(toText(account).find("worker-") != std::string::npos);
    BOOST_TEST(toJson(account)["findings"].size() == account.findings.size());
}

BOOST_AUTO_TEST_CASE(unknownJobIsSaidToBeUnknown)
{
    std::istringstream log("no line of a log\n{\"event\":\"job.known\",\"job\":\"a\",\"t\":1}\n");
    const auto account = explain("b", readLog(log));
    BOOST_TEST(!account.found());
    BOOST_TEST(toText(account).find("no log names it") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
