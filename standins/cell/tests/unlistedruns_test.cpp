#include "testjobs.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t smallTaskJobs = 20;

/// One worker that runs more tasks at once than it lists ends.
World::Settings oneLargeWorker()
{
    World::Settings settings;
    settings.workers = 1;
    settings.workerCapacity = { 32000, 65536, 0 };
    return settings;
}

void submitSmallTasks(World &world, std::uint32_t node)
{
    auto plan = batch(40, seconds(3));
    plan.spec.steps.front().amount = { 40, 64, 0 };
    for (std::uint32_t job = 1; job <= smallTaskJobs; ++job)
        world.submit(node, jobId(job), plan);
}

/// Workers need some time to stop a run, and no longer list it as running meanwhile.
World::Settings workersThatHideStoppingRuns()
{
    World::Settings settings;
    settings.stopTime = milliseconds(800);
    settings.listsStoppingRuns = false;
    return settings;
}

/// Runs jobs on a cell in which two workers stall, until their runs are stopped.
void stopStalledRuns(World &world)
{
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 6; ++job)
        world.submit(0, jobId(job), batch(4, seconds(2)));
    world.run(milliseconds(500));
    world.setWorkerSpeed(0, 0);
    world.setWorkerSpeed(1, 0);
}

} // namespace

/// Runs that an inventory does not list, though they have not ended or their end is still to come.
BOOST_AUTO_TEST_SUITE(unlistedruns)

/// Ends that cannot be acknowledged keep later ends out of the worker's list.
BOOST_AUTO_TEST_CASE(unlistedEndsOfALongListAreNotTakenForLostRuns)
{
    World world(oneLargeWorker());
    world.run(startTime);
    submitSmallTasks(world, 0);
    world.run(seconds(2));
    world.setStoreFaultForAll(StoreFault::Refuse);
    world.run(seconds(5));
    world.setStoreFaultForAll(StoreFault::None);
    world.run(seconds(8));
    BOOST_TEST(world.guarantees().starts() == 800U);
    expectCompleted(world, 0, smallTaskJobs);
}

/// A new owner sees only the first ends of a long list.
BOOST_AUTO_TEST_CASE(newOwnerWaitsForTheRestOfALongListOfEnds)
{
    World world(oneLargeWorker());
    world.run(startTime);
    const auto owner = *world.owner();
    const auto other = follower(world);
    submitSmallTasks(world, other);
    world.run(seconds(2));
    world.setStoreFault(owner, StoreFault::Refuse);
    world.run(seconds(5));
    world.kill(owner);
    world.run(seconds(12));
    BOOST_TEST(world.guarantees().starts() == 800U);
    expectCompleted(world, other, smallTaskJobs);
}

/// A run that is being stopped works until its end is listed.
BOOST_AUTO_TEST_CASE(runBeingStoppedIsAwaitedThoughItsWorkerDoesNotListIt)
{
    World world(workersThatHideStoppingRuns());
    stopStalledRuns(world);
    world.run(seconds(15));
    expectCompleted(world, 1, 6);
}

/// The new owner does not know which runs its predecessor was stopping.
BOOST_AUTO_TEST_CASE(newOwnerAwaitsRunsThatItsPredecessorWasStopping)
{
    World world(workersThatHideStoppingRuns());
    stopStalledRuns(world);
    const auto owner = *world.owner();
    const auto stops = world.callsOf(owner, "worker.stop");
    while (world.callsOf(owner, "worker.stop") == stops)
        world.run(milliseconds(5));
    world.run(milliseconds(20));
    world.terminate(owner);
    world.run(seconds(15));
    expectCompleted(world, follower(world), 6);
}

BOOST_AUTO_TEST_SUITE_END()
