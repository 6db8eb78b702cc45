#include "testjobs.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using cell::SubmitResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Each test brings about one failure that broke a promise before.
BOOST_AUTO_TEST_SUITE(failures)

BOOST_AUTO_TEST_CASE(newOwnerTakesNoteOfEndsThatWereNotAcknowledged)
{
    World world({});
    world.run(startTime);
    const auto owner = *world.owner();
    const auto other = follower(world);
    for (std::uint32_t job = 1; job <= 8; ++job)
        world.submit(other, jobId(job), batch(3, milliseconds(700)));
    world.run(milliseconds(300));
    // The owner learns of ends that it can't store, and dies.
    world.storeFault(owner, StoreFault::Refuse);
    world.run(milliseconds(1200));
    world.kill(owner);
    world.run(seconds(12));
    expectCompleted(world, other, 8);
}

BOOST_AUTO_TEST_CASE(lateWriteDoesNotReplaceANewerState)
{
    World world({});
    world.run(startTime);
    const auto owner = *world.owner();
    const auto other = follower(world);
    for (std::uint32_t job = 1; job <= 6; ++job)
        world.submit(other, jobId(job), chain(4, milliseconds(500)));
    world.run(milliseconds(700));
    // State writes of this time take effect three seconds later.
    world.storeFault(owner, StoreFault::LoseLate);
    world.run(milliseconds(600));
    world.storeFault(owner, StoreFault::None);
    world.run(seconds(4));
    world.kill(owner);
    world.run(seconds(12));
    expectCompleted(world, other, 6);
}

BOOST_AUTO_TEST_CASE(tasksOfALostWorkerStartElsewhereWhenTheirLeaseIsOver)
{
    World world({});
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 6; ++job)
        world.submit(0, jobId(job), batch(4, seconds(3)));
    world.run(seconds(1));
    world.cutWorker(0, true);
    world.cutWorker(1, true);
    world.run(seconds(18));
    expectCompleted(world, 1, 6);
}

BOOST_AUTO_TEST_CASE(rebornWorkerForgetsAndTheOwnerKnows)
{
    World world({});
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 4; ++job)
        world.submit(0, jobId(job), job % 2 == 0 ? gang(5, seconds(2)) : batch(5, seconds(2)));
    world.run(seconds(1));
    world.crashWorker(0);
    world.run(milliseconds(700));
    world.crashWorker(1);
    world.run(seconds(14));
    expectCompleted(world, 1, 4);
}

BOOST_AUTO_TEST_CASE(ordersThatAreCarriedOutLateStartNothingTwice)
{
    World world({});
    world.run(startTime);
    world.lateOrders(0.3);
    for (std::uint32_t job = 1; job <= 10; ++job)
        world.submit(job % 3, jobId(job), job % 3 == 0 ? gang(3) : batch(3));
    world.run(seconds(6));
    world.lateOrders(0);
    world.run(seconds(14));
    expectCompleted(world, 0, 10);
}

BOOST_AUTO_TEST_CASE(lostOrderDelaysItsStepOnlyShortly)
{
    constexpr std::uint32_t jobs = 40;
    World world({});
    world.run(startTime);
    world.lateOrders(0.1);
    std::uint32_t inTime = 0;
    for (std::uint32_t job = 1; job <= jobs; ++job) {
        world.submit(0, jobId(job), chain(6, seconds(1)));
        // Two steps of a second each, and time for one order that is lost in each of them.
        world.run(milliseconds(2500));
        inTime += world.status(1, jobId(job)) == JobStatus::Completed ? 1 : 0;
    }
    BOOST_TEST(inTime >= jobs * 8 / 10);
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(frozenOwnerIsFencedWhenItWakes)
{
    World world({});
    world.run(startTime);
    const auto owner = *world.owner();
    const auto other = follower(world);
    for (std::uint32_t job = 1; job <= 5; ++job)
        world.submit(other, jobId(job), batch(4, seconds(1)));
    world.run(milliseconds(500));
    world.freeze(owner, seconds(5));
    world.run(seconds(14));
    BOOST_REQUIRE(world.owner());
    expectCompleted(world, other, 5);
}

BOOST_AUTO_TEST_CASE(refusedSubmissionNeverRuns)
{
    World world({});
    world.run(startTime);
    world.storeFaultForAll(StoreFault::Refuse);
    std::optional<SubmitResult> refused;
    world.submit(0, jobId(1), batch(2), &refused);
    world.run(seconds(3));
    BOOST_TEST((refused == SubmitResult::NotStored));
    world.storeFaultForAll(StoreFault::None);
    world.run(seconds(8));
    BOOST_TEST(world.promises().starts() == 0U);
    BOOST_TEST(!world.status(1, jobId(1)).has_value());
}

BOOST_AUTO_TEST_CASE(submissionWithoutAnAnswerIsNotCalledRefused)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.storeFaultForAll(StoreFault::LoseLate);
    std::optional<SubmitResult> result;
    world.submit(node, jobId(1), batch(2), &result);
    world.run(seconds(4));
    world.storeFaultForAll(StoreFault::None);
    world.run(seconds(10));
    // The late write takes effect: an answer that the job never runs would have been false.
    BOOST_TEST((result != SubmitResult::NotStored));
    BOOST_TEST(world.promises().starts() == 2U);
}

BOOST_AUTO_TEST_CASE(runsOfForgottenJobsHoldTheirRoomUntilEachHasEnded)
{
    World::Settings settings;
    settings.workers = 1;
    settings.stopTime = milliseconds(900);
    World world(settings);
    world.run(startTime);
    const auto owner = *world.owner();
    const auto other = follower(world);
    world.submit(other, jobId(1), batch(1, seconds(20)));
    world.submit(other, jobId(2), batch(2, seconds(6)));
    world.submit(other, jobId(3), batch(1, seconds(20)));
    world.run(seconds(1));
    // Two jobs are being stopped when the owner changes; their records are gone by then.
    world.cancel(other, jobId(1));
    world.run(milliseconds(400));
    world.cancel(other, jobId(3));
    world.run(milliseconds(200));
    world.terminate(owner);
    world.run(milliseconds(150));
    world.submit(other, jobId(4), batch(4, seconds(1)));
    world.run(seconds(10));
    BOOST_TEST((world.status(other, jobId(4)) == JobStatus::Completed));
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(knownOutageRefusesAtOnceAndTruly)
{
    World world({});
    world.run(startTime);
    world.storeFaultForAll(StoreFault::Silent);
    std::vector<std::optional<SubmitResult>> results(20);
    for (std::uint32_t job = 0; job < 6; ++job)
        world.submit(job % 3, jobId(job), batch(1), &results[job]);
    world.run(seconds(3));
    // By now every node knows that the store does not answer.
    std::uint32_t refused = 0;
    for (std::uint32_t job = 6; job < 20; ++job)
        world.submit(job % 3, jobId(job), batch(1), &results[job]);
    world.run(milliseconds(100));
    for (std::uint32_t job = 6; job < 20; ++job)
        refused += results[job] == SubmitResult::NotStored ? 1 : 0;
    // One of each node tries the store.
    BOOST_TEST(refused >= 11U);
    world.storeFaultForAll(StoreFault::None);
    world.run(seconds(10));
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(nodeWithoutTheStoreTakesJobsThroughAnother)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.storeFault(node, StoreFault::Refuse);
    std::optional<SubmitResult> result;
    world.submit(node, jobId(1), batch(2), &result);
    world.run(seconds(3));
    BOOST_TEST((result == SubmitResult::Accepted));
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(forgottenHistoryLosesNoJob)
{
    World world({});
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 6; ++job) {
        world.submit(job % 3, jobId(job), batch(2));
        world.compactStore();
        world.run(milliseconds(100));
    }
    world.run(seconds(6));
    expectCompleted(world, 0, 6);
}

BOOST_AUTO_TEST_CASE(allNodesLosingPowerLoseNoAcceptedJob)
{
    World world({});
    world.run(startTime);
    std::vector<std::optional<SubmitResult>> results(6);
    for (std::uint32_t job = 0; job < 6; ++job)
        world.submit(job % 3, jobId(job), chain(2), &results[job]);
    world.run(milliseconds(60));
    for (std::uint32_t node = 0; node < 3; ++node)
        world.kill(node);
    world.run(seconds(1));
    for (std::uint32_t node = 0; node < 3; ++node)
        world.start(node);
    world.run(seconds(16));
    for (std::uint32_t job = 0; job < 6; ++job) {
        if (results[job] == SubmitResult::Accepted)
            BOOST_TEST((world.status(0, jobId(job)) == JobStatus::Completed));
    }
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(failedRunsListedInAnyOrderCountOnceEach)
{
    World world({});
    world.run(startTime);
    const auto owner = *world.owner();
    const auto other = follower(world);
    auto plan = batch(1, milliseconds(200));
    plan.failingRuns = { 1, 2, 3 };
    // The owner starts both attempts, but can store neither end.
    for (std::uint32_t job = 1; job <= 12; ++job)
        world.submit(other, jobId(job), plan);
    world.run(milliseconds(40));
    world.storeFault(owner, StoreFault::Refuse);
    world.run(milliseconds(1500));
    world.kill(owner);
    world.run(seconds(12));
    for (std::uint32_t job = 1; job <= 12; ++job)
        BOOST_TEST((world.status(other, jobId(job)) == JobStatus::Failed));
    checkPromises(world);
}

// Guards against a gang that is lost with a worker which said that it would leave, and is begun
// again only when the lease on the gone worker is over.
BOOST_AUTO_TEST_CASE(gangOnAWorkerThatLeavesIsBegunElsewhereAtOnce)
{
    World::Settings settings;
    settings.workers = 2;
    World world(settings);
    world.run(startTime);
    world.submit(0, jobId(1), gang(4, seconds(4)));
    world.run(seconds(1));
    BOOST_REQUIRE(world.promises().starts() == 4U);
    const std::uint32_t used = world.worker(0).present({ jobId(1), 0, 0, 0 }, 1) > 0 ? 0 : 1;
    world.drainWorker(used);
    world.run(milliseconds(600));
    BOOST_TEST(world.promises().starts() == 8U);
    world.crashWorker(used);
    world.run(seconds(6));
    BOOST_TEST((world.status(0, jobId(1)) == JobStatus::Completed));
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(lastingTasksLeaveAWorkerThatLeavesAtOnce)
{
    World::Settings settings;
    settings.workers = 2;
    World world(settings);
    world.run(startTime);
    auto lasting = batch(3, std::chrono::hours(1));
    lasting.spec.steps.front().longRunning = true;
    lasting.spec.steps.front().estimate = {};
    world.submit(0, jobId(1), lasting);
    world.run(seconds(1));
    const std::uint32_t used = world.worker(0).present({ jobId(1), 0, 0, 0 }, 1) > 0 ? 0 : 1;
    world.drainWorker(used);
    world.run(milliseconds(600));
    BOOST_TEST(world.worker(1 - used).present({ jobId(1), 0, 0, 0 }, 2) == 3U);
    checkPromises(world);
}

BOOST_AUTO_TEST_CASE(longOutageOfTheStoreEndsNothingThatRuns)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    // On each worker a short task ends in the outage, beside a long one.
    world.submit(node, jobId(1), batch(6, milliseconds(1500)));
    world.submit(node, jobId(2), batch(12, seconds(9)));
    world.submit(node, jobId(3), chain(6, milliseconds(1500)));
    world.run(seconds(1));
    BOOST_REQUIRE(world.promises().starts() == 24U);
    world.storeFaultForAll(StoreFault::Refuse);
    world.run(seconds(4));
    // The second step of what has begun needs no new record.
    BOOST_TEST(world.promises().starts() == 30U);
    world.run(seconds(4));
    world.storeFaultForAll(StoreFault::None);
    world.run(seconds(4));
    BOOST_TEST(world.promises().starts() == 30U);
    expectCompleted(world, node, 3);
}

BOOST_AUTO_TEST_CASE(strongestDaemonOwnsTheCellAgainAfterAllWereLost)
{
    World::Settings settings;
    settings.nodes = 5;
    settings.weights = { 0.12, 0.12, 0.5, 0.12, 0.12 };
    World world(settings);
    world.run(startTime);
    BOOST_TEST(*world.owner() == 2U);
    for (int round = 0; round < 3; ++round) {
        for (std::uint32_t node = 0; node < settings.nodes; ++node)
            world.kill(node);
        // Longer than their presence lasts.
        world.run(seconds(3));
        // The strong one is the last to come back.
        for (const std::uint32_t node : { 0U, 1U, 3U, 4U, 2U }) {
            world.start(node);
            world.run(milliseconds(60));
        }
        world.submit(0, jobId(static_cast<std::uint32_t>(round + 1)), batch(3));
        world.run(seconds(3));
        BOOST_TEST(*world.owner() == 2U);
    }
    // Without it a weak one has to do.
    world.kill(2);
    world.run(seconds(5));
    BOOST_TEST(*world.owner() != 2U);
    world.submit(0, jobId(9), batch(3));
    world.run(seconds(10));
    BOOST_TEST((world.status(0, jobId(9)) == JobStatus::Completed));
    checkPromises(world);
}

BOOST_AUTO_TEST_SUITE_END()
