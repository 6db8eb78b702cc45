#include "testjobs.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

World::Settings workers(std::uint32_t count)
{
    World::Settings settings;
    settings.workers = count;
    return settings;
}

} // namespace

/// Workers that restart under their id.
BOOST_AUTO_TEST_SUITE(incarnations)

/// The answer of the former incarnation to an overdue poll arrives after the new one has answered.
/// Taken for another restart, it had the tasks of the new incarnation started twice.
BOOST_AUTO_TEST_CASE(lateInventoryOfAFormerIncarnationIsIgnored)
{
    World world(workers(2));
    world.run(startTime);
    world.submit(0, jobId(1), batch(8, seconds(10)));
    world.run(seconds(2));
    const auto owner = *world.owner();
    // The answers to the pending long polls are under way for longer than the owner waits.
    world.setExtraDelay(milliseconds(2500));
    world.run(milliseconds(950));
    world.setExtraDelay({});
    world.crashWorker(0);
    world.run(seconds(25));
    BOOST_TEST(eventsOf(world, owner, "worker.newLife") == 1U);
    expectCompleted(world, owner, 1);
}

/// An order that reached the new incarnation is executed there; a stop that failed meanwhile was
/// not sent again, so that a cancelled task ran to its end, and a gang never ended.
BOOST_AUTO_TEST_CASE(cancelledRunOfANewIncarnationIsStopped)
{
    World world(workers(1));
    world.run(startTime);
    const auto owner = *world.owner();
    world.submit(owner, jobId(1), batch(1, seconds(20)));
    for (int wait = 0; eventsOf(world, owner, "step.started") == 0 && wait < 3000; ++wait)
        world.run(milliseconds(1));
    // The order has no answer, and is carried out late by the new incarnation.
    world.isolateWorkerFrom(owner, 0, true);
    world.crashWorker(0);
    cell::StartOrder order;
    order.task = { jobId(1), 0, 0, 0 };
    order.run = 1;
    order.leaseUntil = seconds(10);
    static_cast<void>(world.worker(0).start(order));
    BOOST_TEST(world.worker(0).held().cpuMillis > 0);
    world.run(milliseconds(100));
    world.cancel(owner, jobId(1));
    world.run(milliseconds(2500));
    BOOST_TEST(eventsOf(world, owner, "worker.newLife") == 0U);
    world.isolateWorkerFrom(owner, 0, false);
    world.run(milliseconds(1500));
    BOOST_TEST(eventsOf(world, owner, "worker.newLife") == 1U);
    BOOST_TEST(world.worker(0).held().cpuMillis == 0);
    world.run(seconds(5));
    expectNoViolations(world);
}

/// The gang is done while the order of one member has no answer yet. Repeated to a new incarnation
/// of its worker, the order would start the member once more.
BOOST_AUTO_TEST_CASE(orderOfADoneGangIsNotRepeated)
{
    World world(workers(2));
    world.run(startTime);
    const auto owner = *world.owner();
    auto plan = gang(2, milliseconds(60));
    plan.spec.steps.front().maxPerWorker = 1;
    world.submit(owner, jobId(1), plan);
    for (int wait = 0; world.counterOf(owner, "starts.sent") < 2 && wait < 3000; ++wait)
        world.run(milliseconds(1));
    // Both members start, but the owner hears of one worker only.
    world.setLostAnswerShare(1);
    world.run(milliseconds(12));
    world.setLostAnswerShare(0);
    BOOST_TEST(world.guarantees().starts() == 2U);
    world.isolateWorkerFrom(owner, 1, true);
    for (int wait = 0; eventsOf(world, owner, "run.ended") == 0 && wait < 3000; ++wait)
        world.run(milliseconds(1));
    const auto calls = world.callsOf(owner, "worker.start");
    world.run(milliseconds(1500));
    BOOST_TEST(world.callsOf(owner, "worker.start") == calls);
    world.isolateWorkerFrom(owner, 1, false);
    world.run(seconds(5));
    expectCompleted(world, owner, 1);
}

/// An idle worker restarts between two polls. The next poll acknowledged the ends of the former
/// incarnation to the new one, which forgot an end that nobody had read: the task was run again.
BOOST_AUTO_TEST_CASE(endsOfANewIncarnationAreNotAcknowledgedUnread)
{
    for (int phase = 0; phase < 14; ++phase) {
        BOOST_TEST_CONTEXT("phase " << phase)
        {
            World world(workers(1));
            world.run(startTime);
            const auto owner = *world.owner();
            world.submit(owner, jobId(1), batch(1, milliseconds(80)));
            world.run(seconds(2) + phase * milliseconds(50));
            world.crashWorker(0, milliseconds(1000));
            const auto sent = world.counterOf(owner, "starts.sent");
            world.submit(owner, jobId(2), batch(1, milliseconds(80)));
            for (int wait = 0; world.counterOf(owner, "starts.sent") == sent && wait < 5000; ++wait)
                world.run(milliseconds(1));
            // The new incarnation runs the task, but its answer to the start is lost.
            world.setLostAnswerShare(1);
            for (int wait = 0; world.guarantees().starts() == 1 && wait < 3000; ++wait)
                world.run(milliseconds(1));
            world.setLostAnswerShare(0);
            world.run(seconds(6));
            BOOST_TEST(world.guarantees().starts() == 2U);
            expectCompleted(world, owner, 2);
        }
    }
}

/// A worker starts again as another kind. Until its new entry was read, it got tasks by the labels
/// of its former incarnation.
BOOST_AUTO_TEST_CASE(newIncarnationOfAnotherKindGetsNoTasksOfItsFormerKind)
{
    World world(workers(2));
    world.run(startTime);
    const auto owner = *world.owner();
    auto labelled = batch(8, seconds(20));
    labelled.spec.steps.front().requiredLabel = defaultWorkerKind;
    world.submit(owner, jobId(1), labelled);
    world.run(seconds(2));
    BOOST_TEST(world.worker(0).held().cpuMillis > 0);
    world.crashWorker(0, milliseconds(1500), "b");
    for (int step = 0; step < 100; ++step) {
        world.run(milliseconds(50));
        BOOST_REQUIRE(world.worker(0).held().cpuMillis == 0);
    }
    // Tasks that any worker may run go there as soon as its entry was read.
    world.submit(owner, jobId(2), batch(1, seconds(1)));
    world.run(milliseconds(500));
    BOOST_TEST(world.worker(0).held().cpuMillis > 0);
    world.run(seconds(45));
    expectCompleted(world, owner, 2);
}

/// A worker starts again as another kind between two polls. An order on a new connection reached
/// the new incarnation before its owner knew of it.
BOOST_AUTO_TEST_CASE(ordersDoNotReachAnIncarnationThatTheOwnerDoesNotKnow)
{
    for (int phase = 0; phase < 14; ++phase) {
        BOOST_TEST_CONTEXT("phase " << phase)
        {
            World world(workers(1));
            world.run(startTime);
            const auto owner = *world.owner();
            auto labelled = batch(1, seconds(1));
            labelled.spec.steps.front().requiredLabel = defaultWorkerKind;
            world.submit(owner, jobId(1), labelled);
            world.run(seconds(3) + phase * milliseconds(50));
            const auto starts = world.guarantees().starts();
            world.crashWorker(0, milliseconds(1200), "b");
            world.submit(owner, jobId(2), labelled);
            world.run(seconds(4));
            BOOST_TEST(world.guarantees().starts() == starts);
            expectNoViolations(world);
        }
    }
}

/// What failed on a worker says nothing about its next incarnation, which was left out for it.
BOOST_AUTO_TEST_CASE(newIncarnationIsNotInQuarantine)
{
    World world(workers(3));
    world.run(startTime);
    const auto owner = *world.owner();
    for (std::uint32_t job = 1; job <= 12; ++job) {
        auto failing = batch(1, milliseconds(100));
        failing.failingRuns = { 1, 2 };
        world.submit(owner, jobId(job), failing);
    }
    world.run(seconds(1));
    BOOST_REQUIRE(eventsOf(world, owner, "worker.quarantined") > 0U);
    for (std::uint32_t worker = 0; worker < 3; ++worker)
        world.crashWorker(worker);
    world.run(seconds(1));
    world.submit(owner, jobId(13), batch(12, seconds(1)));
    world.run(milliseconds(800));
    std::int64_t cpuMillis = 0;
    for (std::uint32_t worker = 0; worker < 3; ++worker)
        cpuMillis += world.worker(worker).held().cpuMillis;
    BOOST_TEST(cpuMillis == 3 * World::Settings().workerCapacity.cpuMillis);
}

BOOST_AUTO_TEST_SUITE_END()
