#include "testjobs.h"

#include <keys.h>
#include <storecalls.h>

#include <base/readjson.h>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using cell::SubmitResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time for a node to detect that the store does not reply and to find another path to it.
constexpr milliseconds detectionTime{ 1300 };

/// Results of the submissions to a node within a given time.
struct Acceptance
{
    std::uint32_t accepted = 0;
    std::uint32_t refused = 0;
    std::uint32_t open = 0;
};

Acceptance submitMany(World &world, std::uint32_t node, std::uint32_t first, std::uint32_t count,
                      Duration time)
{
    std::vector<std::optional<SubmitResult>> results(count);
    for (std::uint32_t job = 0; job < count; ++job)
        world.submit(node, jobId(first + job), batch(1), &results[job]);
    world.run(time);
    Acceptance acceptance;
    for (const auto &result : results) {
        acceptance.accepted += result == SubmitResult::Accepted ? 1 : 0;
        acceptance.refused += result == SubmitResult::NotStored ? 1 : 0;
        acceptance.open += result ? 0 : 1;
    }
    // Later results would be written to the destroyed vector.
    world.run(seconds(4));
    return acceptance;
}

} // namespace

/// Partial and full outages of the store, and the results that callers get meanwhile.
BOOST_AUTO_TEST_SUITE(storepaths)

BOOST_AUTO_TEST_CASE(nodeWithoutTheStoreAcceptsAtOnceThroughAnother)
{
    for (const auto fault : { StoreFault::Silent, StoreFault::Refuse, StoreFault::Reset }) {
        World world({});
        world.run(startTime);
        const auto node = follower(world);
        world.setStoreFault(node, fault);
        world.run(detectionTime);
        const auto acceptance = submitMany(world, node, 1, 10, milliseconds(150));
        BOOST_TEST(acceptance.accepted == 10U);
        world.run(seconds(4));
        expectCompleted(world, node, 10);
    }
}

BOOST_AUTO_TEST_CASE(onlyDaemonWithTheStoreIsFoundByEveryOther)
{
    World::Settings settings;
    settings.nodes = 9;
    for (std::uint32_t survivor = 1; survivor < settings.nodes; ++survivor) {
        BOOST_TEST_CONTEXT("only node " << survivor << " reaches the store")
        {
            World world(settings);
            world.run(startTime);
            for (std::uint32_t node = 0; node < settings.nodes; ++node) {
                if (node != survivor)
                    world.setStoreFault(node, StoreFault::Refuse);
            }
            world.run(seconds(2));
            BOOST_TEST(submitMany(world, 0, 1, 5, milliseconds(300)).accepted == 5U);
        }
    }
}

BOOST_AUTO_TEST_CASE(jobsAreAcceptedAgainSoonAfterAnOutage)
{
    std::uint32_t accepted = 0;
    for (int phase = 0; phase < 8; ++phase) {
        World world({});
        world.run(startTime);
        world.setStoreFaultForAll(StoreFault::Refuse);
        world.run(detectionTime + phase * milliseconds(50));
        world.setStoreFaultForAll(StoreFault::None);
        world.run(milliseconds(200));
        accepted += submitMany(world, follower(world), 1, 1, milliseconds(150)).accepted;
        expectNoViolations(world);
    }
    BOOST_TEST(accepted == 8U);
}

BOOST_AUTO_TEST_CASE(ownerWithoutTheStoreContinuesThroughAnother)
{
    for (const auto fault : { StoreFault::Silent, StoreFault::Refuse, StoreFault::Reset }) {
        World world({});
        world.run(startTime);
        const auto owner = *world.owner();
        const auto revision = world.revision();
        world.setStoreFault(owner, fault);
        world.run(detectionTime);
        const auto acceptance = submitMany(world, follower(world), 1, 6, milliseconds(150));
        BOOST_TEST(acceptance.accepted == 6U);
        for (std::uint32_t job = 1; job <= 6; ++job)
            BOOST_TEST((world.status(follower(world), jobId(job)) == JobStatus::Completed));
        world.run(seconds(4));
        BOOST_TEST(world.revision() == revision);
        expectNoViolations(world);
    }
}

BOOST_AUTO_TEST_CASE(newConfigurationReachesANodeWithAnUnresponsiveStore)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.setStoreFault(node, StoreFault::Silent);
    const auto before = world.configurationOf(node);
    world.changeConfiguration();
    world.run(seconds(2));
    BOOST_TEST(world.configurationOf(node) > before);
}

BOOST_AUTO_TEST_CASE(unresponsiveStoreIsDetectedWithinASecond)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.setStoreFaultForAll(StoreFault::Silent);
    world.run(detectionTime);
    // None of these was sent to the store, so the refusals are correct and immediate.
    const auto acceptance = submitMany(world, node, 1, 20, milliseconds(50));
    BOOST_TEST(acceptance.refused == 20U);
    world.setStoreFaultForAll(StoreFault::None);
    world.run(milliseconds(700));
    const auto after = submitMany(world, node, 101, 20, milliseconds(150));
    BOOST_TEST(after.accepted == 20U);
    for (std::uint32_t job = 1; job <= 20; ++job)
        BOOST_TEST(!world.status(node, jobId(job)).has_value());
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(storeThatClosesAllConnectionsIsDetectedImmediately)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.setStoreFaultForAll(StoreFault::Reset);
    world.run(milliseconds(700));
    // None of these was sent to the store, so the refusals are correct and immediate.
    const auto acceptance = submitMany(world, node, 1, 20, milliseconds(50));
    BOOST_TEST(acceptance.refused == 20U);
    world.setStoreFaultForAll(StoreFault::None);
    world.run(milliseconds(400));
    const auto after = submitMany(world, node, 101, 20, milliseconds(150));
    BOOST_TEST(after.accepted == 20U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(ownerLearnsOfAJobWithoutWatchEvents)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.store().suppressEvents(true);
    for (std::uint32_t job = 1; job <= 4; ++job)
        world.submit(node, jobId(job), batch(2));
    world.run(milliseconds(200));
    BOOST_TEST(world.guarantees().starts() == 8U);
    world.run(seconds(1));
    world.store().suppressEvents(false);
    world.compactStore();
    world.run(seconds(3));
    for (std::uint32_t job = 1; job <= 4; ++job)
        BOOST_TEST((world.status(node, jobId(job)) == JobStatus::Completed));
    BOOST_TEST(world.guarantees().starts() == 8U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(lateAcceptanceMessageDoesNotRerunAJob)
{
    World world({});
    world.run(startTime);
    const auto owner = *world.owner();
    world.submit(owner, jobId(1), batch(2));
    world.run(milliseconds(20));
    const auto item = world.store().read(cell::keys::job(0, jobId(1)));
    BOOST_REQUIRE(item);
    const auto message = encode(cell::StoreReply(item));
    world.run(seconds(4));
    BOOST_TEST((world.status(owner, jobId(1)) == JobStatus::Completed));
    // The state of the job has been removed by the time the message arrives.
    world.run(seconds(200));
    BOOST_TEST(world.callPeer(owner, "/peer/accepted/0", message).status == 200U);
    world.run(seconds(4));
    BOOST_TEST(world.guarantees().starts() == 2U);
    BOOST_TEST(world.callPeer(owner, "/peer/accepted/0", "no job").status == 400U);
}

BOOST_AUTO_TEST_CASE(lostAnswersDoNotMakeTheStoreUnavailable)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    // Writes are applied without a reply; all other calls are answered.
    world.setStoreFault(node, StoreFault::LoseReply);
    const auto acceptance = submitMany(world, node, 1, 8, seconds(3));
    BOOST_TEST(acceptance.refused == 0U);
    world.setStoreFault(node, StoreFault::None);
    world.run(seconds(3));
    expectCompleted(world, node, 8);
}

BOOST_AUTO_TEST_CASE(relayedCallsWithUnknownOutcomeAreNotRefused)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.setStoreFault(node, StoreFault::Refuse);
    world.run(detectionTime);
    // All other paths lose the replies to writes.
    for (std::uint32_t other = 0; other < 3; ++other) {
        if (other != node)
            world.setStoreFault(other, StoreFault::ApplyLate);
    }
    const auto acceptance = submitMany(world, node, 1, 4, seconds(4));
    BOOST_TEST(acceptance.refused == 0U);
    world.setStoreFaultForAll(StoreFault::None);
    world.run(seconds(8));
    expectNoViolations(world);
}

// Guards against a message whose nesting overflows the stack of the daemon that receives it.
BOOST_AUTO_TEST_CASE(rejectsDeeplyNestedMessages)
{
    World world({});
    world.run(startTime);
    constexpr char arrayOfOne = '\x81';
    const auto message = std::string(100'000, arrayOfOne) + std::string(1, '\0');
    BOOST_TEST(world.callPeer(0, "/peer/store", message).status == 400U);
    BOOST_TEST(world.callPeer(0, "/peer/accepted/0", message).status == 400U);
    BOOST_TEST(!cell::decodeStoreReply(message).has_value());
}

// Guards against values that a daemon partitioned from the store cannot read through others.
BOOST_AUTO_TEST_CASE(passesOnValuesThatAreNotText)
{
    const std::string value("\xff\xc3\x28\0\xed\xa0\x80", 7);
    cell::StorePage page;
    page.items.push_back({ "servers/w", value, 5, 4, 0 });
    const auto reply = cell::decodeStoreReply(encode(cell::StoreReply(page)));
    BOOST_REQUIRE(reply.has_value());
    BOOST_REQUIRE(std::holds_alternative<cell::StorePage>(*reply));
    const auto &items = std::get<cell::StorePage>(*reply).items;
    BOOST_REQUIRE(items.size() == 1U);
    BOOST_TEST((items.front().value == value));
}

// Guards against a key that cannot be sent to the store: the daemon that was asked to store it gave
// up its shards because of the exception.
BOOST_AUTO_TEST_CASE(rejectsKeysThatAreNotText)
{
    const std::string key = "cowsliprock/\xff";
    cell::Transaction write;
    write.writes.push_back({ key, "value", 0 });
    cell::Transaction condition;
    condition.conditions.push_back({ key, 0 });
    cell::Transaction removal;
    removal.removals.push_back(key);
    const std::vector<cell::StoreCall> calls{ cell::StoreReadCall{ key },
                                              cell::StoreListCall{ key, "" },
                                              cell::StoreListCall{ "cowsliprock/", key },
                                              cell::StoreWatchCall{ key, 0, {} },
                                              cell::StoreCommitCall{ write },
                                              cell::StoreCommitCall{ condition },
                                              cell::StoreCommitCall{ removal } };
    for (const auto &call : calls)
        BOOST_TEST(!cell::decodeStoreCall(encode(call)).has_value(), call.index());
    const std::optional<cell::StoreItem> item = cell::StoreItem{ key, "value", 2, 1, 0 };
    BOOST_TEST(!cell::decodeStoreReply(encode(cell::StoreReply(item))).has_value());

    World world({});
    world.run(startTime);
    BOOST_TEST(world.callPeer(0, "/peer/store", encode(calls.at(4))).status == 400U);
}

// Guards against numbers of other daemons that wrap around or overflow.
BOOST_AUTO_TEST_CASE(rejectsMessagesOutOfRange)
{
    const auto message = [](const Json &json) {
        const auto bytes = Json::to_cbor(json);
        return std::string(bytes.begin(), bytes.end());
    };
    constexpr int watch = 2;
    const auto watchCall = [&](const Json &after, const Json &wait) {
        return message(Json::array({ watch, Json::array({ "cowsliprock/", after, wait }) }));
    };
    BOOST_TEST(cell::decodeStoreCall(watchCall(7, 1000)).has_value());
    for (const auto &call :
         { watchCall(-1, 1000), watchCall(1e300, 1000), watchCall(7, 1e300), watchCall(7, -1),
           watchCall(7, std::uint64_t{ 1 } << 62U), message(Json::array({ 1e300, Json::array() })),
           message(Json::array({ 4294967296, Json::array({ "key" }) })) }) {
        BOOST_TEST(!cell::decodeStoreCall(call).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
