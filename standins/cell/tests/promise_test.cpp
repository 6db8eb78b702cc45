#include "testjobs.h"

#include <peermessages.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

unsigned requestPromise(World &world, std::uint32_t node, std::uint64_t ownershipRevision)
{
    return world
        .callPeer(node, "/peer/promise/0", encode(cell::PromiseRequest{ ownershipRevision }))
        .status;
}

} // namespace

/// Promises of successors not to claim a shard.
BOOST_AUTO_TEST_SUITE(promises)

BOOST_AUTO_TEST_CASE(promiseToAnEarlierOwnerDoesNotReplaceTheNewestOne)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    const auto revision = world.revision();
    BOOST_TEST(requestPromise(world, node, revision + 1) == cell::statusOk);
    BOOST_TEST(requestPromise(world, node, revision) == cell::statusConflict);
    BOOST_TEST(requestPromise(world, node, revision + 1) == cell::statusOk);
}

BOOST_AUTO_TEST_CASE(ownerPromisesNothing)
{
    World world({});
    world.run(startTime);
    BOOST_TEST(requestPromise(world, *world.owner(), world.revision()) == cell::statusConflict);
}

BOOST_AUTO_TEST_CASE(successorsAreNotReplacedWhileTheirPromisesAreInForce)
{
    constexpr std::uint32_t nodes = 5;
    World::Settings settings;
    settings.nodes = nodes;
    World world(settings);
    world.run(startTime);
    const auto successors = successorsOf(world, nodes);
    world.setStoreFaultForAll(StoreFault::Refuse);
    world.store().pauseLeases(false);
    world.run(seconds(4));
    // The owner relies on promises for 600 ms at least: it asks for new ones 900 ms in advance.
    world.setStoreFaultForAll(StoreFault::None);
    world.kill(*successors.begin());
    world.run(milliseconds(500));
    BOOST_TEST((successorsOf(world, nodes) == successors));
    world.run(seconds(3));
    BOOST_TEST((successorsOf(world, nodes) != successors));
}

BOOST_AUTO_TEST_CASE(malformedRequestsAreRefused)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    for (const std::string body : { "", "[]", "{}", "{\"ownershipRevision\":\"x\"}" })
        BOOST_TEST(world.callPeer(node, "/peer/promise/0", body).status == cell::statusBadRequest);
    const auto body = encode(cell::PromiseRequest{ world.revision() });
    for (const std::string shard : { "", "1", "-1", "x" })
        BOOST_TEST(world.callPeer(node, "/peer/promise/" + shard, body).status
                   == cell::statusBadRequest);
}

BOOST_AUTO_TEST_SUITE_END()
