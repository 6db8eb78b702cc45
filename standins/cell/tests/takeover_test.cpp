#include "testjobs.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Kills the owner, starts it again and waits until somebody owns the cell.
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

/// What a new owner starts at once, and for what it has to wait.
BOOST_AUTO_TEST_SUITE(takeover)

BOOST_AUTO_TEST_CASE(stepsBehindRunningTasksDoNotWaitForSilentWorkers)
{
    // The size of a grown cell: some of its workers are always silent.
    constexpr std::uint32_t workers = 350;
    constexpr std::uint32_t silent = workers / 20;
    constexpr std::uint32_t jobs = 40;
    World::Settings settings;
    settings.workers = workers;
    World world(settings);
    world.run(startTime);
    const auto node = follower(world);
    // Long tasks fill the workers that will be silent: the best fit is the worker that has some.
    for (std::uint32_t job = 0; job < workers; ++job)
        world.submit(node, jobId(1000 + job), batch(2, seconds(60)));
    world.run(seconds(3));
    for (std::uint32_t job = 1; job <= jobs; ++job)
        world.submit(node, jobId(job), chain(2, milliseconds(2500)));
    world.run(seconds(1));
    for (std::uint32_t worker = 0; worker < silent; ++worker)
        world.cutWorker(worker, true);
    const auto before = world.promises().starts();
    changeOwner(world);
    // The first steps end 1.5 s after the owner's death, the second ones begin soon after.
    world.run(seconds(2));
    const auto started = world.promises().starts() - before;
    // Those with a task on a silent worker wait for the end of its lease.
    BOOST_TEST(started >= 2 * jobs * 8 / 10);
    world.run(seconds(10));
    for (std::uint32_t worker = 0; worker < silent; ++worker)
        world.cutWorker(worker, false);
    expectCompleted(world, node, jobs);
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
    // The last of these wait for room when the owner dies, so they may have been started.
    for (std::uint32_t job = 2; job <= 9; ++job)
        world.submit(node, jobId(job), batch(4, milliseconds(1200)));
    world.run(milliseconds(400));
    const auto before = world.promises().starts();
    changeOwner(world);
    world.run(milliseconds(1500));
    BOOST_TEST(world.promises().starts() > before);
    world.run(seconds(6));
    for (std::uint32_t job = 2; job <= 9; ++job)
        BOOST_TEST((world.status(node, jobId(job)) == JobStatus::Completed));
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(workerThatWasSilentBeforeHoldsUpItsOwnJobsOnly)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    // Five workers are full; of the second job half waits for room.
    world.submit(node, jobId(1), batch(20, milliseconds(3500)));
    world.run(milliseconds(300));
    world.submit(node, jobId(2), batch(8, seconds(6)));
    world.run(milliseconds(300));
    BOOST_REQUIRE(world.promises().starts() == 24U);
    std::uint32_t silent = 0;
    while (world.worker(silent).present({ jobId(1), 0, 0, 0 }, 1) != 4)
        ++silent;
    world.cutWorker(silent, true);
    world.run(milliseconds(1500));
    changeOwner(world);
    // The first job's tasks end, but for those on the silent worker, whose lease goes on.
    world.run(milliseconds(1500));
    BOOST_TEST(world.promises().starts() == 28U);
    world.run(seconds(12));
    world.cutWorker(silent, false);
    world.run(seconds(2));
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    BOOST_TEST((world.status(node, jobId(2)) == JobStatus::Completed));
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(endsWithoutADurableNoteAreWaitedFor)
{
    World world({});
    world.run(startTime);
    const auto owner = *world.owner();
    const auto node = follower(world);
    world.submit(node, jobId(1), chain(4, milliseconds(1500)));
    world.run(milliseconds(500));
    // The tasks of the first step end on workers that leave, and no note of it is stored.
    world.storeFaultForAll(StoreFault::Refuse);
    std::vector<std::uint32_t> used;
    for (std::uint32_t worker = 0; worker < 6; ++worker) {
        if (world.promises().startsOn("worker-" + std::to_string(worker)) > 0)
            used.push_back(worker);
    }
    for (const auto worker : used)
        world.drainWorker(worker);
    world.run(milliseconds(1500));
    world.kill(owner);
    world.storeFaultForAll(StoreFault::None);
    for (const auto worker : used)
        world.cutWorker(worker, true);
    // The successor may not start any of the first step's tasks again.
    world.run(seconds(4));
    BOOST_TEST(world.promises().starts() <= 8U);
    for (const auto worker : used)
        world.cutWorker(worker, false);
    world.run(seconds(6));
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(taskOnASilentWorkerStartsElsewhereOnlyWhenItsLeaseIsOver)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    // Every worker has one of the tasks.
    world.submit(node, jobId(1), batch(24, milliseconds(4500)));
    world.run(milliseconds(500));
    world.cutWorker(3, true);
    changeOwner(world);
    world.run(seconds(16));
    world.cutWorker(3, false);
    world.run(seconds(2));
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(workerGetsNoOrderBeforeASuccessorWouldKnowOfIt)
{
    World world({});
    world.run(startTime);
    const auto owner = *world.owner();
    const auto node = follower(world);
    world.removeWorker(5);
    world.run(seconds(20));
    const auto before = world.promises().startsOn("worker-5");
    // Half of the tasks of a job that has begun wait for room.
    world.submit(node, jobId(1), batch(40, seconds(4)));
    world.run(seconds(1));
    // No write of the owner succeeds when the worker is back: its name is not in the roster.
    world.storeFault(owner, StoreFault::LoseLate);
    world.cutWorker(5, false);
    world.run(seconds(2));
    BOOST_TEST(world.promises().startsOn("worker-5") == before);
    world.storeFault(owner, StoreFault::None);
    world.run(seconds(12));
    BOOST_TEST(world.promises().startsOn("worker-5") > before);
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    checkPromises(world);
}

BOOST_AUTO_TEST_SUITE_END()
