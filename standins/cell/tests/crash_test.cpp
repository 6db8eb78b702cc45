#include "testjobs.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

World::JobPlan deadly(std::uint32_t count)
{
    auto plan = batch(count, seconds(1));
    plan.deadly = true;
    return plan;
}

World::Settings twelveWorkers()
{
    World::Settings settings;
    settings.workers = 12;
    return settings;
}

std::uint32_t lastWorkerInUse(World &world, std::uint32_t workers)
{
    std::uint32_t worker = workers - 1;
    while (worker > 0 && world.worker(worker).held().cpuMillis == 0)
        --worker;
    return worker;
}

/// Runs the world until the only worker runs a task, and the answer to its start has arrived.
void awaitTask(World &world)
{
    for (int wait = 0; world.worker(0).held().cpuMillis == 0 && wait < 20000; ++wait)
        world.run(milliseconds(1));
    world.run(milliseconds(20));
}

} // namespace

/// Workers that crash and are replaced, and tasks that crash them.
BOOST_AUTO_TEST_SUITE(crashes)

BOOST_AUTO_TEST_CASE(tasksOfAReplacedWorkerDoNotWaitForItsLease)
{
    const World::Settings settings;
    World world(settings);
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 6; ++job)
        world.submit(0, jobId(job), batch(3, seconds(2)));
    world.run(seconds(1));
    const auto starts = world.guarantees().starts();
    world.replaceWorker(workerInUse(world, settings.workers), seconds(1));
    world.run(milliseconds(2500));
    BOOST_TEST(world.guarantees().starts() > starts);
    world.run(seconds(10));
    expectCompleted(world, 1, 6);
}

BOOST_AUTO_TEST_CASE(taskThatCrashesItsWorkersIsGivenUp)
{
    World world(twelveWorkers());
    world.run(startTime);
    world.submit(0, jobId(1), deadly(1));
    world.run(seconds(40));
    BOOST_TEST(world.guarantees().starts() == 2U);
    BOOST_TEST((world.status(1, jobId(1)) == JobStatus::Failed));
    expectNoViolations(world);
}

/// The owner learns of a crash later over relays and over long distances.
BOOST_AUTO_TEST_CASE(taskThatCrashesDistantWorkersIsGivenUp)
{
    for (const bool relays : { false, true }) {
        auto settings = twelveWorkers();
        if (relays)
            settings.minWorkersForRelay = 1;
        World world(settings);
        world.setExtraDelay(milliseconds(40));
        world.run(startTime);
        world.submit(0, jobId(1), deadly(1));
        world.run(seconds(60));
        BOOST_TEST(world.guarantees().starts() == 2U);
        BOOST_TEST((world.status(1, jobId(1)) == JobStatus::Failed));
        expectNoViolations(world);
    }
}

/// The workers are back under their ids, so that an order may still reach the new incarnation.
BOOST_AUTO_TEST_CASE(taskThatCrashesWorkersWhichKeepTheirIdIsGivenUp)
{
    auto settings = twelveWorkers();
    settings.replacedWorkersKeepTheirId = true;
    World world(settings);
    world.run(startTime);
    world.submit(0, jobId(1), deadly(1));
    world.run(seconds(60));
    BOOST_TEST(world.guarantees().starts() <= 3U);
    BOOST_TEST((world.status(1, jobId(1)) == JobStatus::Failed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(crashesOfATaskAreCountedAcrossOwners)
{
    World world(twelveWorkers());
    world.run(startTime);
    world.submit(0, jobId(1), deadly(1));
    for (int owners = 0; owners < 6; ++owners) {
        world.run(seconds(5));
        if (const auto owner = world.owner()) {
            world.kill(*owner);
            world.run(milliseconds(500));
            world.start(*owner);
        }
    }
    world.run(seconds(40));
    BOOST_TEST((world.status(1, jobId(1)) == JobStatus::Failed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(soundTasksBesideDeadlyOnesAreCompleted)
{
    World world(twelveWorkers());
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 40; ++job) {
        world.submit(0, jobId(job), job % 10 == 0 ? deadly(1) : batch(2, milliseconds(700)));
        world.run(milliseconds(200));
    }
    world.run(seconds(40));
    for (std::uint32_t job = 1; job <= 40; ++job) {
        const auto expected = job % 10 == 0 ? JobStatus::Failed : JobStatus::Completed;
        BOOST_TEST((world.status(1, jobId(job)) == expected), jobId(job));
    }
    expectNoViolations(world);
}

/// Each time another member loses its worker right after the start.
BOOST_AUTO_TEST_CASE(gangWhoseMembersLoseDifferentWorkersIsNotGivenUp)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        auto settings = twelveWorkers();
        settings.seed = seed;
        World world(settings);
        world.run(startTime);
        auto plan = gang(4, seconds(2));
        plan.spec.steps.front().maxPerWorker = 1;
        world.submit(0, jobId(1), plan);
        for (std::size_t run = 1; run <= 3; ++run) {
            for (int wait = 0; world.guarantees().starts() < 4 * run && wait < 9000; ++wait)
                world.run(milliseconds(1));
            world.run(milliseconds(5));
            const auto lost = run % 2 == 1 ? workerInUse(world, settings.workers)
                                           : lastWorkerInUse(world, settings.workers);
            world.replaceWorker(lost, seconds(1));
        }
        world.run(seconds(20));
        static_cast<void>(world.status(1, jobId(1)));
        expectNoViolations(world);
    }
}

BOOST_AUTO_TEST_CASE(deadlyGangIsGivenUp)
{
    World world(twelveWorkers());
    world.run(startTime);
    auto plan = deadly(3);
    plan.spec.steps.front().gang = true;
    world.submit(0, jobId(1), plan);
    world.run(seconds(60));
    BOOST_TEST((world.status(1, jobId(1)) == JobStatus::Failed));
    expectNoViolations(world);
}

/// The owner does not hear of a worker for some time after each start; then the worker crashes. The
/// task is not the cause if it had been running for long.
BOOST_AUTO_TEST_CASE(taskThatRanOnSilentWorkersBeforeTheyCrashedIsNotGivenUp)
{
    World::Settings settings;
    settings.workers = 1;
    World world(settings);
    world.run(startTime);
    const auto owner = *world.owner();
    world.submit(owner, jobId(1), batch(1, seconds(4)));
    for (int loss = 0; loss < 3; ++loss) {
        awaitTask(world);
        world.isolateWorkerFrom(owner, 0, true);
        world.run(seconds(3));
        world.crashWorker(0);
        world.isolateWorkerFrom(owner, 0, false);
        world.run(milliseconds(500));
    }
    world.run(seconds(20));
    expectCompleted(world, owner, 1);
}

/// Orders to a worker that has crashed already are no evidence against their task.
BOOST_AUTO_TEST_CASE(taskThatNeverReachedItsWorkersIsNotGivenUp)
{
    World::Settings settings;
    settings.workers = 1;
    World world(settings);
    world.run(startTime);
    const auto owner = *world.owner();
    world.submit(owner, jobId(1), batch(1, seconds(1)));
    for (int loss = 0; loss < 3; ++loss) {
        const auto sent = world.counterOf(owner, "starts.sent");
        for (int wait = 0; world.counterOf(owner, "starts.sent") == sent && wait < 20000; ++wait)
            world.run(milliseconds(1));
        world.isolateWorkerFrom(owner, 0, true);
        world.run(milliseconds(20));
        BOOST_TEST(world.worker(0).held().cpuMillis == 0);
        world.run(milliseconds(200));
        world.crashWorker(0);
        world.isolateWorkerFrom(owner, 0, false);
    }
    world.run(seconds(30));
    expectCompleted(world, owner, 1);
}

/// A rack may lose its power more than once.
BOOST_AUTO_TEST_CASE(repeatedLossOfManyWorkersGivesNoTaskUp)
{
    World world(twelveWorkers());
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 12; ++job)
        world.submit(0, jobId(job), batch(3, seconds(3)));
    for (int loss = 0; loss < 3; ++loss) {
        world.run(seconds(2));
        for (std::uint32_t worker = 0; worker < 4; ++worker)
            world.replaceWorker(worker, seconds(1));
    }
    world.run(seconds(40));
    expectCompleted(world, 1, 12);
}

BOOST_AUTO_TEST_SUITE_END()
