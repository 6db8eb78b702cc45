#include "testjobs.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t jobs = 12;
/// Workers on the side of the owner; the others are on the side of the store.
const std::set<std::uint32_t> ownerWorkers{ 0, 1, 2 };

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
    World::Settings settings;
    settings.nodes = 5;
    for (const auto work : { seconds(1), seconds(4) }) {
        BOOST_TEST_CONTEXT("tasks of " << work.count() << " s")
        {
            World world(settings);
            startJobs(world, work);
            playPartition(world, { *world.owner(), follower(world) }, seconds(20));
            expectNoViolations(world);
        }
    }
}

BOOST_AUTO_TEST_CASE(ownerCutOffDuringAStoreOutageRunsNothingTwice)
{
    World::Settings settings;
    settings.nodes = 5;
    for (const auto work : { seconds(1), seconds(4) }) {
        BOOST_TEST_CONTEXT("tasks of " << work.count() << " s")
        {
            World world(settings);
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

BOOST_AUTO_TEST_SUITE_END()
