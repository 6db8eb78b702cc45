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
    // The order is repeated on a connection to the new incarnation.
    world.crashWorker(0);
    world.setLostAnswerShare(1);
    for (int wait = 0; world.worker(0).held().cpuMillis == 0 && wait < 3000; ++wait)
        world.run(milliseconds(1));
    BOOST_TEST(world.worker(0).held().cpuMillis > 0);
    world.isolateWorkerFrom(owner, 0, true);
    world.setLostAnswerShare(0);
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

BOOST_AUTO_TEST_SUITE_END()
