#include "testjobs.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Kills and restarts the owner, then waits until a node has acquired ownership.
void changeOwner(World &world)
{
    const auto owner = *world.owner();
    const auto revision = world.revision();
    world.kill(owner);
    world.run(milliseconds(500));
    world.start(owner);
    for (int step = 0; world.revision() == revision && step < 100; ++step)
        world.run(milliseconds(20));
    BOOST_REQUIRE(world.revision() != revision);
}

} // namespace

/// Which tasks a new owner starts immediately, and for which it has to wait.
BOOST_AUTO_TEST_SUITE(takeover)

BOOST_AUTO_TEST_CASE(stepsBehindRunningTasksDoNotWaitForSilentWorkers)
{
    // A large cell, in which some workers are always unreachable.
    constexpr std::uint32_t workers = 350;
    constexpr std::uint32_t unreachable = workers / 20;
    constexpr std::uint32_t jobs = 40;
    World::Settings settings;
    settings.workers = workers;
    World world(settings);
    world.run(startTime);
    const auto node = follower(world);
    // Long tasks fill the workers that become unreachable: best fit prefers workers that have some.
    for (std::uint32_t job = 0; job < workers; ++job)
        world.submit(node, jobId(1000 + job), batch(2, seconds(60)));
    world.run(seconds(3));
    for (std::uint32_t job = 1; job <= jobs; ++job)
        world.submit(node, jobId(job), chain(2, milliseconds(2500)));
    world.run(seconds(1));
    for (std::uint32_t worker = 0; worker < unreachable; ++worker)
        world.isolateWorker(worker, true);
    const auto before = world.guarantees().starts();
    changeOwner(world);
    // The first steps end 1.5 s after the owner was killed; the second ones start soon after.
    world.run(seconds(2));
    const auto started = world.guarantees().starts() - before;
    // Jobs with a task on an unreachable worker wait until its lease expires.
    BOOST_TEST(started >= 2 * jobs * 8 / 10);
    world.run(seconds(10));
    for (std::uint32_t worker = 0; worker < unreachable; ++worker)
        world.isolateWorker(worker, false);
    expectCompleted(world, node, jobs);
}

BOOST_AUTO_TEST_CASE(silentWorkerThatIsUnlistedIsAwaitedUntilItsLeasesEnd)
{
    // Longest lease of a worker; its clock may be slow.
    constexpr seconds longestLease{ 10 };
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.submit(node, jobId(1), batch(4, seconds(30)));
    world.run(seconds(1));
    const auto silent = workerInUse(world, World::Settings().workers);
    world.isolateWorker(silent, true);
    world.run(milliseconds(4500));
    const auto before = world.guarantees().starts();
    changeOwner(world);
    world.run(longestLease + milliseconds(250));
    BOOST_TEST(world.guarantees().starts() == before);
    world.run(seconds(1));
    BOOST_TEST(world.guarantees().starts() > before);
}

BOOST_AUTO_TEST_CASE(workersThatHaveLeftAreNotWaitedFor)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.submit(node, jobId(1), batch(12, milliseconds(300)));
    world.run(seconds(1));
    world.drainWorker(0);
    world.drainWorker(1);
    world.run(seconds(1));
    world.removeWorker(0);
    world.removeWorker(1);
    world.run(milliseconds(300));
    // The last of these wait for capacity when the owner is killed, so the successor has to assume
    // that they may have been started.
    for (std::uint32_t job = 2; job <= 9; ++job)
        world.submit(node, jobId(job), batch(4, milliseconds(1200)));
    world.run(milliseconds(400));
    const auto before = world.guarantees().starts();
    changeOwner(world);
    world.run(milliseconds(1500));
    BOOST_TEST(world.guarantees().starts() > before);
    world.run(seconds(6));
    for (std::uint32_t job = 2; job <= 9; ++job)
        BOOST_TEST((world.status(node, jobId(job)) == JobStatus::Completed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(unreachableWorkerDelaysOnlyItsOwnJobs)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    // Five workers are full; half of the second job waits for capacity.
    world.submit(node, jobId(1), batch(20, milliseconds(3500)));
    world.run(milliseconds(300));
    world.submit(node, jobId(2), batch(8, seconds(6)));
    world.run(milliseconds(300));
    BOOST_REQUIRE(world.guarantees().starts() == 24U);
    std::uint32_t unreachable = 0;
    while (world.worker(unreachable).present({ jobId(1), 0, 0, 0 }, 1) != 4)
        ++unreachable;
    world.isolateWorker(unreachable, true);
    world.run(milliseconds(1500));
    changeOwner(world);
    // The first job's tasks end, except those on the unreachable worker, whose lease is still
    // valid.
    world.run(milliseconds(1500));
    BOOST_TEST(world.guarantees().starts() == 28U);
    world.run(seconds(12));
    world.isolateWorker(unreachable, false);
    world.run(seconds(2));
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    BOOST_TEST((world.status(node, jobId(2)) == JobStatus::Completed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(endsThatAreNotStoredAreWaitedFor)
{
    World world({});
    world.run(startTime);
    const auto owner = *world.owner();
    const auto node = follower(world);
    world.submit(node, jobId(1), chain(4, milliseconds(1500)));
    world.run(milliseconds(500));
    // The tasks of the first step end on draining workers, and their ends are not stored.
    world.setStoreFaultForAll(StoreFault::Refuse);
    std::vector<std::uint32_t> used;
    for (std::uint32_t worker = 0; worker < 6; ++worker) {
        if (world.guarantees().startsOn("worker-" + std::to_string(worker)) > 0)
            used.push_back(worker);
    }
    for (const auto worker : used)
        world.drainWorker(worker);
    world.run(milliseconds(1500));
    world.kill(owner);
    world.setStoreFaultForAll(StoreFault::None);
    for (const auto worker : used)
        world.isolateWorker(worker, true);
    // The successor must not restart any task of the first step.
    world.run(seconds(4));
    BOOST_TEST(world.guarantees().starts() <= 8U);
    for (const auto worker : used)
        world.isolateWorker(worker, false);
    world.run(seconds(6));
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(taskOnAnUnreachableWorkerStartsElsewhereOnlyWhenItsLeaseExpires)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    // Every worker runs some of the tasks.
    world.submit(node, jobId(1), batch(24, milliseconds(4500)));
    world.run(milliseconds(500));
    world.isolateWorker(3, true);
    changeOwner(world);
    world.run(seconds(16));
    world.isolateWorker(3, false);
    world.run(seconds(2));
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(workerGetsNoOrderBeforeItIsInTheStoredRoster)
{
    World world({});
    world.run(startTime);
    const auto owner = *world.owner();
    const auto node = follower(world);
    world.removeWorker(5);
    world.run(seconds(20));
    const auto before = world.guarantees().startsOn("worker-5");
    // Half of the tasks of a started job wait for capacity.
    world.submit(node, jobId(1), batch(40, seconds(4)));
    world.run(seconds(1));
    // The owner cannot write when the worker returns, so the worker is not in the stored roster.
    world.setStoreFault(owner, StoreFault::ApplyLate);
    world.isolateWorker(5, false);
    world.run(seconds(2));
    BOOST_TEST(world.guarantees().startsOn("worker-5") == before);
    world.setStoreFault(owner, StoreFault::None);
    world.run(seconds(12));
    BOOST_TEST(world.guarantees().startsOn("worker-5") > before);
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    expectNoViolations(world);
}

/// The end of a run that the owner did not expect is not the end of the run that it started.
BOOST_AUTO_TEST_CASE(endOfAnUnexpectedRunStartsNoFurtherOne)
{
    const World::Settings settings;
    World world(settings);
    world.run(startTime);
    const auto owner = *world.owner();
    auto plan = batch(4, seconds(30));
    plan.spec.steps.front().speculative = true;
    world.submit(follower(world), jobId(1), plan);
    world.run(seconds(1));
    // The tasks on a slow worker get a copy each.
    world.setWorkerSpeed(workerInUse(world, settings.workers), 0.02);
    world.run(seconds(10));
    const auto starts = world.guarantees().starts();
    BOOST_REQUIRE(starts > 4U);
    world.kill(owner);
    world.run(seconds(5));
    BOOST_TEST(world.guarantees().starts() == starts);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_SUITE_END()
