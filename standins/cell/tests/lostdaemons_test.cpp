#include "testjobs.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t nodeCount = 9;
/// Time within which a cell that has lost daemons must run tasks again.
constexpr seconds recoveryTime{ 12 };

World::Settings nineNodes()
{
    World::Settings settings;
    settings.nodes = nodeCount;
    // Jobs are asked for at the end of a play.
    settings.statusRetention = std::chrono::minutes(30);
    return settings;
}

std::set<std::uint32_t> ownerAndSuccessors(World &world)
{
    auto nodes = successorsOf(world, nodeCount);
    BOOST_REQUIRE(nodes.size() == 2U);
    nodes.insert(*world.owner());
    return nodes;
}

/// The node with the highest number that is not among \p lost.
std::uint32_t survivorOf(const std::set<std::uint32_t> &lost)
{
    std::uint32_t node = nodeCount - 1;
    while (lost.contains(node))
        --node;
    return node;
}

World::JobPlan lastingJob()
{
    auto plan = batch(2, std::chrono::hours(1));
    plan.spec.steps.front().longRunning = true;
    return plan;
}

std::set<std::uint32_t> firstWorkers(std::uint32_t count)
{
    std::set<std::uint32_t> workers;
    for (std::uint32_t worker = 0; worker < count; ++worker)
        workers.insert(worker);
    return workers;
}

/// Expects that jobs from \p first on, which are submitted now, run, and that the two tasks of job
/// 1, which last, are at work.
void expectWork(World &world, std::uint32_t node, std::uint32_t first)
{
    constexpr std::uint32_t jobs = 4;
    for (std::uint32_t job = first; job < first + jobs; ++job)
        world.submit(node, jobId(job), chain(4, milliseconds(400)));
    world.run(seconds(3));
    for (std::uint32_t job = first; job < first + jobs; ++job)
        BOOST_TEST((world.status(node, jobId(job)) == cell::JobStatus::Completed), jobId(job));
    std::int64_t cpuMillis = 0;
    for (std::uint32_t worker = 0; worker < World::Settings().workers; ++worker)
        cpuMillis += world.worker(worker).held().cpuMillis;
    BOOST_TEST(cpuMillis == 2 * batch(1).spec.steps.front().amount.cpuMillis);
}

} // namespace

/// Daemons that are lost for good or cut off together with all that may succeed the owner.
BOOST_AUTO_TEST_SUITE(lostdaemons)

/// Without its owner and the successors that it had named, a cell ran nothing for ten minutes.
BOOST_AUTO_TEST_CASE(cellWithoutOwnerAndSuccessorsRunsOn)
{
    for (const std::size_t lostCount : { 3U, 7U, 8U }) {
        BOOST_TEST_CONTEXT(lostCount << " of nine daemons")
        {
            World world(nineNodes());
            world.run(startTime);
            world.submit(0, jobId(1), lastingJob());
            world.run(seconds(2));
            auto lost = ownerAndSuccessors(world);
            for (std::uint32_t node = 0; lost.size() < lostCount; ++node)
                lost.insert(node);
            for (const auto node : lost)
                world.kill(node);
            world.run(recoveryTime);
            expectWork(world, survivorOf(lost), 2);
            expectNoViolations(world);
        }
    }
}

/// The stored list of successors names none of the daemons that replace the lost ones.
BOOST_AUTO_TEST_CASE(daemonsOfOtherNamesTakeOver)
{
    World world(nineNodes());
    const std::set<std::uint32_t> others{ 5, 6, 7, 8 };
    for (const auto node : others)
        world.kill(node);
    world.run(startTime + seconds(2));
    world.submit(0, jobId(1), lastingJob());
    world.run(seconds(2));
    for (std::uint32_t node = 0; node < *others.begin(); ++node)
        world.kill(node);
    world.run(seconds(2));
    for (const auto node : others)
        world.start(node);
    world.run(recoveryTime);
    expectWork(world, *others.begin(), 2);
    expectNoViolations(world);
}

/// Daemons wait for the owner's return after an outage; the loss must not be waited for again.
BOOST_AUTO_TEST_CASE(lossDuringAStoreOutageIsRecoveredSoonAfterIt)
{
    for (const bool leasesPause : { false, true }) {
        World world(nineNodes());
        world.run(startTime);
        world.submit(0, jobId(1), lastingJob());
        world.run(seconds(2));
        const auto lost = ownerAndSuccessors(world);
        world.setStoreFaultForAll(StoreFault::Refuse);
        world.store().pauseLeases(leasesPause);
        world.run(seconds(3));
        for (const auto node : lost)
            world.kill(node);
        world.run(seconds(3));
        world.setStoreFaultForAll(StoreFault::None);
        world.run(recoveryTime);
        expectWork(world, survivorOf(lost), 2);
        expectNoViolations(world);
    }
}

/// Each loss of contact with the store restarted the wait of the other daemons.
BOOST_AUTO_TEST_CASE(shortOutagesDoNotPostponeTheClaim)
{
    World world(nineNodes());
    world.run(startTime);
    world.submit(0, jobId(1), lastingJob());
    world.run(seconds(2));
    const auto lost = ownerAndSuccessors(world);
    for (const auto node : lost)
        world.kill(node);
    for (int outage = 0; outage < 3; ++outage) {
        world.run(milliseconds(2500));
        world.setStoreFaultForAll(StoreFault::Refuse);
        world.run(milliseconds(700));
        world.setStoreFaultForAll(StoreFault::None);
    }
    world.run(seconds(4));
    expectWork(world, survivorOf(lost), 2);
    expectNoViolations(world);
}

/// An owner that is cut off together with its successors goes on with their promises. A daemon on
/// the side of the store that claims the shard must not start what the owner may have started.
BOOST_AUTO_TEST_CASE(ownerCutOffWithItsSuccessorsRunsNothingTwice)
{
    for (const std::uint32_t workers : { 1U, 2U, 3U, 4U, 5U, 6U }) {
        for (const auto work : { milliseconds(700), milliseconds(4000), milliseconds(15000) }) {
            BOOST_TEST_CONTEXT(workers << " workers cut off, tasks of " << work.count() << " ms")
            {
                World world(nineNodes());
                world.run(startTime);
                const auto side = ownerAndSuccessors(world);
                const auto survivor = survivorOf(side);
                for (std::uint32_t job = 1; job <= 12; ++job)
                    world.submit(survivor, jobId(job), chain(4, work));
                world.run(milliseconds(900));
                world.cutOff(side, firstWorkers(workers), true);
                world.run(seconds(10));
                for (std::uint32_t job = 13; job <= 16; ++job)
                    world.submit(survivor, jobId(job), chain(2, work));
                world.run(seconds(25));
                world.cutOff(side, firstWorkers(workers), false);
                world.run(seconds(110));
                expectCompleted(world, survivor, 16);
            }
        }
    }
}

/// The claimant is lost before it has fenced the workers: the next owner has to fence them, too.
BOOST_AUTO_TEST_CASE(ownerAfterAnInterruptedContestedTakeOverRunsNothingTwice)
{
    for (int phase = 0; phase < 10; ++phase) {
        BOOST_TEST_CONTEXT("phase " << phase)
        {
            World world(nineNodes());
            world.run(startTime);
            const auto side = ownerAndSuccessors(world);
            const auto former = *world.owner();
            const auto survivor = survivorOf(side);
            for (std::uint32_t job = 1; job <= 8; ++job)
                world.submit(survivor, jobId(job), chain(4, seconds(3)));
            world.run(milliseconds(900));
            world.cutOff(side, firstWorkers(4), true);
            for (int wait = 0; *world.owner() == former && wait < 10000; ++wait)
                world.run(milliseconds(1));
            world.run(phase * milliseconds(40));
            const auto claimant = *world.owner();
            BOOST_REQUIRE(!side.contains(claimant));
            world.kill(claimant);
            world.run(seconds(20));
            world.cutOff(side, firstWorkers(4), false);
            world.start(claimant);
            world.run(seconds(60));
            expectCompleted(world, survivor == claimant ? former : survivor, 8);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
