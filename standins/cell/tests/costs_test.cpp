#include "testjobs.h"

#include <standincell/decisionload.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Calls by kind of all nodes, from their metrics.
std::uint64_t callsOf(const World &world, std::uint32_t nodes, const std::string &name)
{
    std::uint64_t sum = 0;
    for (std::uint32_t node = 0; node < nodes; ++node)
        sum += world.callsOf(node, name);
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(costs)

// What a job and a task cost in calls, on a calm cell. The bounds are those of docs/CAPACITY.md.
BOOST_AUTO_TEST_CASE(callsForEachJobAndTaskAreBounded)
{
    constexpr std::uint32_t jobs = 200;
    constexpr std::uint32_t tasks = 3;
    World::Settings settings;
    settings.workers = 20;
    World world(settings);
    world.run(startTime);
    const auto before = callsOf(world, settings.nodes, "store.commit");
    for (std::uint32_t job = 0; job < jobs; ++job) {
        world.submit(job % settings.nodes, jobId(job), batch(tasks, milliseconds(300)));
        world.run(milliseconds(20));
    }
    world.run(seconds(3));
    const auto commits = callsOf(world, settings.nodes, "store.commit") - before;
    BOOST_TEST(commits <= 5 * jobs / 2);
    BOOST_TEST(callsOf(world, settings.nodes, "worker.start") == jobs * tasks);
    BOOST_TEST(callsOf(world, settings.nodes, "worker.inventory") <= 3 * jobs * tasks);
    BOOST_TEST(callsOf(world, settings.nodes, "store.read") <= jobs / 10);
    checkPromises(world);
}

// Cancellations come in waves, and members of gangs fail, in cells with thousands of runs.
BOOST_AUTO_TEST_CASE(stoppingAJobLooksAtItsOwnRunsOnly)
{
    World::Settings settings;
    settings.workers = 40;
    World world(settings);
    world.run(startTime);
    constexpr std::uint32_t otherJobs = 30;
    for (std::uint32_t job = 1; job <= otherJobs; ++job)
        world.submit(0, jobId(job), batch(4, seconds(30)));
    const auto stopped = jobId(otherJobs + 1);
    world.submit(0, stopped, gang(4, seconds(30)));
    world.run(seconds(1));
    const auto before = world.counterOf(*world.owner(), "scheduler.runsLookedAt");
    world.cancel(0, stopped);
    world.run(seconds(2));
    // The workers of its four tasks run up to four tasks each.
    BOOST_TEST(world.counterOf(*world.owner(), "scheduler.runsLookedAt") - before <= 4U * 4U);
    BOOST_TEST((world.status(0, stopped) == cell::JobStatus::Cancelled));
    checkPromises(world);
}

// A cell without work: presence, watches and inventories only.
BOOST_AUTO_TEST_CASE(idleCellCostsTheSameWhateverItDidBefore)
{
    World::Settings settings;
    settings.workers = 20;
    World world(settings);
    world.run(seconds(10));
    const auto commits = callsOf(world, settings.nodes, "store.commit");
    const auto inventories = callsOf(world, settings.nodes, "worker.inventory");
    world.run(seconds(10));
    BOOST_TEST(callsOf(world, settings.nodes, "store.commit") - commits <= 2U);
    BOOST_TEST(callsOf(world, settings.nodes, "worker.inventory") - inventories
               <= 16U * settings.workers);
}

// Load: a cell that is nearly full, with a burst of urgent checks and one of gangs. Urgent checks
// are served in time all the same, and more gangs than if jobs were taken as they come.
BOOST_AUTO_TEST_CASE(moreIsServedInTimeThanFirstComeFirstServed)
{
    std::uint32_t ourGangs = 0;
    std::uint32_t theirGangs = 0;
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        const auto ours = playHeavyLoad({}, seed);
        const auto theirs = playHeavyLoad({ cell::ArrivalOrder{}, cell::FirstFit{} }, seed);
        BOOST_TEST(ours.at("urgent").inTimeShare() >= 0.98);
        ourGangs += ours.at("gang").inTime;
        theirGangs += theirs.at("gang").inTime;
        for (const auto &[kind, outcome] : ours)
            BOOST_TEST(outcome.refusedLate == 0U, kind);
    }
    BOOST_TEST(ourGangs > theirGangs);
}

BOOST_AUTO_TEST_SUITE_END()
