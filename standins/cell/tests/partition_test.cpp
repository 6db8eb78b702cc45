#include "testjobs.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t nodeCount = 5;
constexpr std::uint32_t jobs = 12;
/// Workers on the side of the owner; the others are on the side of the store.
const std::set<std::uint32_t> ownerWorkers{ 0, 1, 2 };

World::Settings manyNodes()
{
    World::Settings settings;
    settings.nodes = nodeCount;
    return settings;
}

bool hasLogged(const World &world, std::uint32_t node, const std::string &event)
{
    return world.logOf(node).find("\"" + event + "\"") != std::string::npos;
}

/// Starts jobs on all workers of the cell.
void startJobs(World &world, Duration work)
{
    world.run(startTime);
    const auto node = follower(world);
    for (std::uint32_t job = 1; job <= jobs; ++job)
        world.submit(node, jobId(job), chain(4, work));
    world.run(milliseconds(900));
}

/// Cuts nodes off together with the owner's workers for some time, then lets the jobs end.
void playPartition(World &world, const std::set<std::uint32_t> &nodes, Duration length)
{
    world.cutOff(nodes, ownerWorkers, true);
    world.run(length);
    world.cutOff(nodes, ownerWorkers, false);
    world.run(seconds(20));
}

/// Workers that are running tasks.
std::set<std::uint32_t> workersInUse(World &world)
{
    std::set<std::uint32_t> result;
    for (std::uint32_t worker = 0; worker < World::Settings().workers; ++worker) {
        if (world.worker(worker).held().cpuMillis > 0)
            result.insert(worker);
    }
    return result;
}

} // namespace

/// Network partitions between daemons and workers.
BOOST_AUTO_TEST_SUITE(partition)

BOOST_AUTO_TEST_CASE(ownerCutOffFromStoreAndPeersRunsNothingTwice)
{
    for (const auto work : { seconds(1), seconds(4), seconds(8), seconds(25) }) {
        for (const auto length : { 4, 8, 12, 16, 20, 30 }) {
            BOOST_TEST_CONTEXT("tasks of " << work.count() << " s, cut for " << length << " s")
            {
                World world({});
                startJobs(world, work);
                playPartition(world, { *world.owner() }, seconds(length));
                expectNoViolations(world);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(ownerCutOffWithAFollowerRunsNothingTwice)
{
    for (const auto work : { seconds(1), seconds(4) }) {
        BOOST_TEST_CONTEXT("tasks of " << work.count() << " s")
        {
            World world(manyNodes());
            startJobs(world, work);
            playPartition(world, { *world.owner(), follower(world) }, seconds(20));
            expectNoViolations(world);
        }
    }
}

BOOST_AUTO_TEST_CASE(ownerCutOffDuringAStoreOutageRunsNothingTwice)
{
    for (const auto work : { seconds(1), seconds(4) }) {
        BOOST_TEST_CONTEXT("tasks of " << work.count() << " s")
        {
            World world(manyNodes());
            startJobs(world, work);
            const auto owner = *world.owner();
            world.kill(follower(world));
            world.setStoreFaultForAll(StoreFault::Refuse);
            world.run(seconds(15));
            world.setStoreFaultForAll(StoreFault::None);
            playPartition(world, { owner }, seconds(15));
            expectNoViolations(world);
        }
    }
}

BOOST_AUTO_TEST_CASE(restartedSuccessorKeepsThePromiseOfItsPreviousProcess)
{
    // The successor restarts at different times after it gave its last promise.
    for (int phase = 0; phase < 12; ++phase) {
        World world(manyNodes());
        world.run(startTime);
        const auto owner = *world.owner();
        const auto successor = *successorsOf(world, nodeCount).begin();
        world.submit(owner, jobId(1), batch(8, seconds(40)));
        world.run(seconds(1));
        world.setStoreFaultForAll(StoreFault::Refuse);
        // Leases of the store expire in this outage.
        world.store().pauseLeases(false);
        world.run(seconds(10) + phase * milliseconds(250));
        const auto busy = workersInUse(world);
        world.kill(successor);
        world.setStoreFaultForAll(StoreFault::None);
        world.cutOff({ owner }, busy, true);
        world.start(successor);
        world.run(seconds(15));
        world.cutOff({ owner }, busy, false);
        world.run(seconds(60));
        expectCompleted(world, successor, 1);
    }
}

/// A successor that has claimed the shard and restarts without the store does not know of its
/// claim, so its promise must not give the shard back to the earlier owner.
BOOST_AUTO_TEST_CASE(restartedSuccessorThatHasClaimedDoesNotRestoreTheEarlierOwner)
{
    for (int phase = 0; phase < 8; ++phase) {
        BOOST_TEST_CONTEXT("phase " << phase)
        {
            World world({});
            world.run(startTime);
            const auto owner = *world.owner();
            world.submit(owner, jobId(1), batch(12, seconds(25)));
            world.run(seconds(1));
            const auto claimant = follower(world);
            const auto other = 3 - owner - claimant;
            world.cutOff({ owner, other }, ownerWorkers, true);
            world.run(milliseconds(3000) + phase * milliseconds(250));
            BOOST_TEST(*world.owner() == claimant);
            world.kill(claimant);
            world.setStoreFaultForAll(StoreFault::Refuse);
            for (const auto node : { owner, other }) {
                world.cutLink(node, claimant, false);
                world.cutLink(claimant, node, false);
            }
            world.start(claimant);
            world.run(seconds(15));
            world.setStoreFaultForAll(StoreFault::None);
            world.cutOff({ owner, other }, ownerWorkers, false);
            world.run(seconds(60));
            expectCompleted(world, other, 1);
        }
    }
}

/// A claim that got no response must not keep a successor from promising for good.
BOOST_AUTO_TEST_CASE(successorPromisesAgainAfterAClaimWithoutResponse)
{
    World world(manyNodes());
    world.run(startTime);
    const auto owner = *world.owner();
    world.cutOff({ owner }, {}, true);
    const auto presence = cell::keys::member("node-" + std::to_string(owner));
    while (world.store().read(presence))
        world.run(milliseconds(1));
    // The claim is lost on its way, and the owner returns.
    world.setStoreFaultForAll(StoreFault::Reset);
    world.cutOff({ owner }, {}, false);
    world.run(seconds(1));
    world.setStoreFaultForAll(StoreFault::None);
    world.run(seconds(2));
    BOOST_REQUIRE(*world.owner() == owner);
    bool claimed = false;
    for (const auto successor : successorsOf(world, nodeCount))
        claimed = claimed || hasLogged(world, successor, "shard.claiming");
    BOOST_REQUIRE(claimed);
    world.run(seconds(60));
    world.submit(owner, jobId(1), batch(6, seconds(40)));
    world.run(seconds(1));
    world.setStoreFaultForAll(StoreFault::Refuse);
    world.run(seconds(20));
    world.setStoreFaultForAll(StoreFault::None);
    world.run(seconds(40));
    BOOST_TEST(world.guarantees().starts() == 6U);
    BOOST_TEST(*world.owner() == owner);
    expectCompleted(world, owner, 1);
}

/// A short restart of a successor during an outage of the store must not end the ownership.
BOOST_AUTO_TEST_CASE(outageEndsNoTaskWhenASuccessorRestartsSoon)
{
    for (int phase = 0; phase < 20; ++phase) {
        BOOST_TEST_CONTEXT("phase " << phase)
        {
            World world(manyNodes());
            world.run(startTime);
            const auto owner = *world.owner();
            const auto successor = *successorsOf(world, nodeCount).begin();
            world.submit(owner, jobId(1), batch(6, seconds(60)));
            world.run(seconds(1));
            world.setStoreFaultForAll(StoreFault::Refuse);
            world.run(seconds(6) + phase * milliseconds(150));
            world.kill(successor);
            world.run(milliseconds(1750));
            world.start(successor);
            world.run(seconds(15));
            world.setStoreFaultForAll(StoreFault::None);
            world.run(seconds(20));
            BOOST_TEST(world.guarantees().starts() == 6U);
        }
    }
}

BOOST_AUTO_TEST_CASE(longStoreOutageEndsNoTaskWhileSuccessorsPromise)
{
    for (const auto fault : { StoreFault::Refuse, StoreFault::Silent }) {
        for (const bool otherNodeIsDead : { false, true }) {
            World world(manyNodes());
            world.run(startTime);
            const auto owner = *world.owner();
            const auto successors = successorsOf(world, nodeCount);
            BOOST_REQUIRE(successors.size() == 2U);
            world.submit(*successors.begin(), jobId(1), batch(6, seconds(50)));
            world.submit(*successors.begin(), jobId(2), chain(6, seconds(20)));
            world.run(seconds(1));
            std::uint32_t other = 0;
            while (other == owner || successors.contains(other))
                ++other;
            if (otherNodeIsDead)
                world.kill(other);
            world.setStoreFaultForAll(fault);
            world.run(seconds(40));
            // The second step is started during the outage; nothing is started again.
            BOOST_TEST(world.guarantees().starts() == 18U);
            world.setStoreFaultForAll(StoreFault::None);
            world.run(seconds(20));
            BOOST_TEST(world.guarantees().starts() == 18U);
            BOOST_TEST(*world.owner() == owner);
            expectCompleted(world, owner, 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(ownerStopsInAnOutageInWhichASuccessorIsDead)
{
    World world(manyNodes());
    world.run(startTime);
    const auto owner = *world.owner();
    world.submit(owner, jobId(1), batch(6, seconds(30)));
    world.run(seconds(1));
    world.kill(*successorsOf(world, nodeCount).begin());
    world.setStoreFaultForAll(StoreFault::Refuse);
    world.run(seconds(20));
    BOOST_TEST(hasLogged(world, owner, "shard.leaseExpired"));
    world.setStoreFaultForAll(StoreFault::None);
    world.run(seconds(60));
    expectCompleted(world, owner, 1);
}

BOOST_AUTO_TEST_CASE(cellHasAnOwnerSoonAfterItsOwnerWasCutOff)
{
    World world(manyNodes());
    startJobs(world, seconds(1));
    const auto owner = *world.owner();
    world.cutOff({ owner }, ownerWorkers, true);
    world.run(seconds(4));
    BOOST_TEST(*world.owner() != owner);
}

/// A run that was taken for lost turns out to be done while the next run of its task is at work.
/// The owner then starts the following step, but can neither store the end nor stop the other run.
/// Its successor sees only that run, and must not conclude that the following step was not started.
BOOST_AUTO_TEST_CASE(stepBehindATaskWithASecondRunStartsOnce)
{
    World::Settings settings;
    settings.workers = 4;
    World world(settings);
    world.run(startTime);
    const auto owner = *world.owner();
    // Each task fills its worker, so that the following step starts on a third one.
    auto plan = chain(1, seconds(6));
    for (auto &step : plan.spec.steps)
        step.amount = settings.workerCapacity;
    world.submit(owner, jobId(1), plan);
    world.run(seconds(3));
    const auto first = workerInUse(world, settings.workers);
    world.isolateWorker(first, true);
    for (int wait = 0; world.guarantees().starts() == 1 && wait < 10000; ++wait)
        world.run(milliseconds(1));
    world.run(seconds(1));
    const auto second = workerInUse(world, settings.workers);
    std::set<std::uint32_t> others;
    for (std::uint32_t worker = 0; worker < settings.workers; ++worker) {
        if (worker != second)
            others.insert(worker);
    }
    world.isolateWorker(first, false);
    world.cutOff({ owner }, others, true);
    world.run(seconds(15));
    world.cutOff({ owner }, others, false);
    world.run(seconds(25));
    expectCompleted(world, owner, 1);
}

/// An order without an answer is repeated for up to 1.5 s, in which the owner may lose its lease. A
/// repetition after that starts a task that a successor may have started, or seen to its end.
BOOST_AUTO_TEST_CASE(ownerWithoutLeaseRepeatsNoStart)
{
    World::Settings settings;
    settings.workers = 1;
    World world(settings);
    world.run(startTime);
    const auto owner = *world.owner();
    world.submit(owner, jobId(1), batch(200, milliseconds(60)));
    world.run(seconds(1));
    world.cutOff({ owner }, { 0 }, true);
    const auto unconfirmed = eventsOf(world, owner, "shard.unconfirmed");
    world.run(milliseconds(900));
    const auto sent = world.counterOf(owner, "starts.sent");
    for (int wait = 0; world.counterOf(owner, "starts.sent") == sent && wait < 1000; ++wait)
        world.run(milliseconds(1));
    world.isolateWorkerFrom(owner, 0, true);
    for (int wait = 0; eventsOf(world, owner, "shard.unconfirmed") == unconfirmed && wait < 1000;
         ++wait)
        world.run(milliseconds(1));
    const auto starts = world.guarantees().starts();
    world.isolateWorkerFrom(owner, 0, false);
    world.run(milliseconds(1500));
    BOOST_TEST(world.guarantees().starts() == starts);
    world.cutOff({ owner }, { 0 }, false);
    world.run(seconds(40));
    expectCompleted(world, owner, 1);
}

BOOST_AUTO_TEST_SUITE_END()
