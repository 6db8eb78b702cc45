#include "testjobs.h"

#include <standincell/decisionload.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Number of calls of one kind made by all nodes, from their metrics.
std::uint64_t callsOf(const World &world, std::uint32_t nodes, const std::string &name)
{
    std::uint64_t sum = 0;
    for (std::uint32_t node = 0; node < nodes; ++node)
        sum += world.callsOf(node, name);
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(costs)

// Calls per job and task without faults. The bounds are those of docs/CAPACITY.md.
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
    expectNoViolations(world);
}

// Guards against stopping a job by a scan of all runs of the cell, which may have thousands: jobs
// are cancelled in waves, and gangs fail.
BOOST_AUTO_TEST_CASE(stoppingAJobInspectsOnlyItsOwnRuns)
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
    // Each worker of its four tasks runs up to four tasks.
    BOOST_TEST(world.counterOf(*world.owner(), "scheduler.runsLookedAt") - before <= 4U * 4U);
    BOOST_TEST((world.status(0, stopped) == cell::JobStatus::Cancelled));
    expectNoViolations(world);
}

// An idle cell makes calls only for presence, watches and inventories.
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

// Load: a cell near capacity, with a burst of urgent checks and one of gangs. Urgent checks must
// complete in time, and more gangs in time than with first-come, first-served scheduling.
BOOST_AUTO_TEST_CASE(moreIsServedInTimeThanFirstComeFirstServed)
{
    std::uint32_t gangsInTime = 0;
    std::uint32_t baselineGangsInTime = 0;
    // With fewer seeds some tens of gangs would decide.
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        const auto results = simulateHeavyLoad({}, seed);
        const auto baseline = simulateHeavyLoad({ cell::ArrivalOrder{}, cell::FirstFit{} }, seed);
        BOOST_TEST(results.at("urgent").inTimeShare() >= 0.98);
        gangsInTime += results.at("gang").inTime;
        baselineGangsInTime += baseline.at("gang").inTime;
        for (const auto &[kind, outcome] : results)
            BOOST_TEST(outcome.refusedLate == 0U, kind);
    }
    BOOST_TEST(gangsInTime > baselineGangsInTime);
}

BOOST_AUTO_TEST_SUITE_END()
