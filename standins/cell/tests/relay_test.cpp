#include "testjobs.h"

#include <relaymessages.h>

#include <base/id.h>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <utility>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t nodeCount = 5;

/// Settings of a cell whose owner calls its workers through another node.
World::Settings relaySettings()
{
    World::Settings settings;
    settings.nodes = nodeCount;
    settings.workers = 8;
    settings.minWorkersForRelay = 1;
    return settings;
}

/// The relay node. All nodes have equal weight, so it is the first one other than the owner in the
/// order of the name hashes.
std::uint32_t relayOf(const World &world)
{
    BOOST_REQUIRE(world.owner());
    const auto rank = [owner = *world.owner()](std::uint32_t node) {
        return std::pair(node == owner, stableHash("node-" + std::to_string(node)));
    };
    std::uint32_t first = 0;
    for (std::uint32_t node = 1; node < nodeCount; ++node)
        first = rank(node) < rank(first) ? node : first;
    return first;
}

std::uint32_t uninvolvedNode(const World &world)
{
    std::uint32_t node = 0;
    while (node == *world.owner() || node == relayOf(world))
        ++node;
    return node;
}

cell::StartOrder orderFor(const World &world, const std::string &job)
{
    cell::StartOrder order;
    order.task = *cell::parseTaskId(job + ".0.0.0");
    order.run = 1;
    order.spec = "text";
    order.leaseUntil = std::chrono::hours(1);
    order.fencingToken = world.revision() * 2048;
    return order;
}

cell::RelayBatch batchOf(const World &world, std::uint64_t revision,
                         std::optional<milliseconds> clock)
{
    cell::RelayBatch batch;
    batch.ownershipRevision = revision;
    batch.clock = clock;
    batch.calls.push_back(cell::RelayedStart{ 1,
                                              { "worker-0", "worker-0", "z" },
                                              orderFor(world, jobId(1)),
                                              { milliseconds(300), false } });
    return batch;
}

/// Submits jobs, injects a fault while they run, and expects all of them to complete.
template <typename Fault>
void expectJobsSurvive(Fault injectFault)
{
    World world(relaySettings());
    world.run(startTime);
    const auto node = uninvolvedNode(world);
    for (std::uint32_t job = 1; job <= 10; ++job)
        world.submit(node, jobId(job),
                     job % 2 == 0 ? gang(4, seconds(1)) : chain(3, milliseconds(700)));
    world.run(milliseconds(400));
    BOOST_TEST(world.callsOf(*world.owner(), "relay") > 0U);
    injectFault(world);
    world.run(seconds(15));
    expectCompleted(world, node, 10);
}

} // namespace

/// Worker calls relayed through other daemons, and failures of the relays.
BOOST_AUTO_TEST_SUITE(relay)

BOOST_AUTO_TEST_CASE(callsGoThroughAnotherDaemonInALargeCell)
{
    World world(relaySettings());
    world.run(startTime);
    const auto owner = *world.owner();
    const auto relay = relayOf(world);
    for (std::uint32_t job = 1; job <= 10; ++job)
        world.submit(uninvolvedNode(world), jobId(job), batch(4));
    world.run(seconds(3));
    for (std::uint32_t job = 1; job <= 10; ++job)
        BOOST_TEST((world.status(owner, jobId(job)) == JobStatus::Completed));
    BOOST_TEST(world.callsOf(relay, "worker.start") == 40U);
    BOOST_TEST(world.callsOf(owner, "worker.start") == 0U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(smallCellIsCalledByItsOwner)
{
    auto settings = relaySettings();
    settings.minWorkersForRelay = settings.workers + 1;
    World world(settings);
    world.run(startTime);
    world.submit(uninvolvedNode(world), jobId(1), batch(4));
    world.run(seconds(2));
    BOOST_TEST(world.callsOf(*world.owner(), "worker.start") == 4U);
    BOOST_TEST(world.callsOf(*world.owner(), "relay") == 0U);
}

BOOST_AUTO_TEST_CASE(jobsSurviveAKilledRelay)
{
    expectJobsSurvive([](World &world) { world.kill(relayOf(world)); });
}

BOOST_AUTO_TEST_CASE(jobsSurviveAPausedRelay)
{
    expectJobsSurvive([](World &world) { world.freeze(relayOf(world), seconds(4)); });
}

BOOST_AUTO_TEST_CASE(jobsSurviveAGracefulRelayShutdown)
{
    expectJobsSurvive([](World &world) { world.terminate(relayOf(world)); });
}

BOOST_AUTO_TEST_CASE(jobsSurviveAKilledOwnerAndRelay)
{
    expectJobsSurvive([](World &world) {
        world.kill(relayOf(world));
        world.kill(*world.owner());
    });
}

BOOST_AUTO_TEST_CASE(staleBatchIsNotExecuted)
{
    World world(relaySettings());
    world.run(startTime);
    const auto relay = relayOf(world);
    const auto revision = world.revision();
    const auto before = world.callsOf(relay, "worker.start");
    const auto old = world.clock() - seconds(2);
    const auto text = world.callPeer(relay, "/peer/relay", encode(batchOf(world, revision, old)));
    const auto answer = cell::decodeRelayAnswer(text.body);
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->stale);
    // A batch of unknown age is not executed either.
    const auto other = cell::decodeRelayAnswer(
        world.callPeer(relay, "/peer/relay", encode(batchOf(world, revision, {}))).body);
    BOOST_REQUIRE(other);
    BOOST_TEST(other->stale);
    BOOST_TEST(world.callsOf(relay, "worker.start") == before);
}

BOOST_AUTO_TEST_CASE(batchOfADeposedOwnerIsRefused)
{
    World world(relaySettings());
    world.run(startTime);
    const auto relay = relayOf(world);
    const auto before = world.callsOf(relay, "worker.start");
    // Lower than the revision of any ownership record.
    const auto batch = batchOf(world, 1, world.clock());
    BOOST_TEST(world.callPeer(relay, "/peer/relay", encode(batch)).status == 409U);
    BOOST_TEST(world.callsOf(relay, "worker.start") == before);
}

BOOST_AUTO_TEST_CASE(ownerRefusedByARelayMakesNoFurtherCalls)
{
    World world(relaySettings());
    world.run(startTime);
    const auto owner = *world.owner();
    const auto node = uninvolvedNode(world);
    for (std::uint32_t job = 1; job <= 12; ++job) {
        auto plan = chain(2, milliseconds(600));
        for (std::uint32_t step = 2; step < 8; ++step) {
            plan.spec.steps.push_back(plan.spec.steps.front());
            plan.spec.steps.back().after = { step - 1 };
        }
        world.submit(node, jobId(job), plan);
    }
    world.run(seconds(1));
    // The owner continues with its current state until another node owns the cell: only one node
    // reaches the store, and the owner does not reach that node.
    auto successors = successorsOf(world, nodeCount);
    successors.erase(relayOf(world));
    BOOST_REQUIRE(!successors.empty());
    const auto survivor = *successors.begin();
    world.cutLink(owner, survivor, true);
    for (std::uint32_t other = 0; other < nodeCount; ++other) {
        if (other != survivor)
            world.setStoreFault(other, StoreFault::Silent);
    }
    for (int step = 0; *world.owner() == owner && step < 200; ++step)
        world.run(milliseconds(50));
    BOOST_REQUIRE(*world.owner() != owner);
    const auto directCalls = [&] {
        return world.callsOf(owner, "worker.start") + world.callsOf(owner, "worker.stop")
            + world.callsOf(owner, "worker.inventory");
    };
    const auto before = directCalls();
    world.run(seconds(3));
    BOOST_TEST(directCalls() == before);
    world.setStoreFaultForAll(StoreFault::None);
    world.cutLink(owner, survivor, false);
    world.run(seconds(25));
    expectCompleted(world, node, 12);
}

BOOST_AUTO_TEST_CASE(malformedBatchIsRefusedWithoutSideEffects)
{
    World world(relaySettings());
    world.run(startTime);
    const auto relay = relayOf(world);
    const std::string valid = encode(batchOf(world, world.revision(), world.clock()));
    BOOST_TEST(cell::decodeRelayBatch(valid).has_value());
    for (const std::string text :
         { "", "[]", "{}", "{\"shard\":0,\"revision\":5,\"texts\":[],\"calls\":[[0,1]]}",
           "{\"shard\":0,\"revision\":5,\"texts\":[],\"calls\":[[9,1,\"w\",\"a\",5,\"t\",1,0]]}",
           "{\"shard\":0,\"revision\":5,\"texts\":3,\"calls\":{}}" })
        BOOST_TEST(world.callPeer(relay, "/peer/relay", text).status == 400U);
    // Every truncation of a valid batch is rejected, too.
    for (std::size_t length = 0; length < valid.size(); ++length)
        BOOST_TEST(!cell::decodeRelayBatch(valid.substr(0, length)).has_value());
    world.submit(uninvolvedNode(world), jobId(1), batch(4));
    world.run(seconds(2));
    BOOST_TEST((world.status(uninvolvedNode(world), jobId(1)) == JobStatus::Completed));
}

BOOST_AUTO_TEST_CASE(relayMessagesRoundTrip)
{
    cell::Inventory inventory;
    inventory.born = 77;
    inventory.clock = milliseconds(1234);
    inventory.running.push_back({ *cell::parseTaskId(jobId(1) + ".0.1.2"), 3, "saved", 41 });
    inventory.finished.push_back(
        { 9, *cell::parseTaskId(jobId(1) + ".0.1.3"), 2, cell::EndKind::Broken, "point" });
    inventory.moreFinished = true;
    cell::RelayAnswer answer;
    answer.clock = milliseconds(5);
    answer.replies = {
        cell::OrderReply{ 1, cell::OrderOutcome(cell::OrderAccepted{ milliseconds(8) }) },
        cell::OrderReply{
            2,
            cell::OrderOutcome(cell::OrderRefused{ cell::OrderRefusal::NoRoom, milliseconds(9) }) },
        cell::OrderReply{ 3, Error{ ErrorKind::Timeout, "step", "peer", "detail" } },
        cell::InventoryReply{ 4, cell::InventoryOutcome(inventory) },
        cell::InventoryReply{
            5, cell::InventoryOutcome(cell::OrderRefused{ cell::OrderRefusal::Fenced, {} }) },
    };
    const auto text = encode(answer);
    const auto decoded = cell::decodeRelayAnswer(text);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(encode(*decoded) == text);
    const auto &list = std::get<cell::Inventory>(std::get<cell::InventoryOutcome>(
        std::get<cell::InventoryReply>(decoded->replies.at(3)).outcome));
    BOOST_TEST(list.running.at(0).checkpoint == "saved");
    BOOST_TEST((list.finished.at(0).kind == cell::EndKind::Broken));
    BOOST_TEST(list.moreFinished);
}

// Guards against numbers of other daemons that wrap around or overflow in sums of times.
BOOST_AUTO_TEST_CASE(rejectsMessagesOutOfRange)
{
    const auto batch = [](const std::string &call) {
        return cell::decodeRelayBatch(R"({"shard":0,"revision":7,"texts":["t"],"calls":[)" + call
                                      + "]}");
    };
    BOOST_TEST(batch(R"([1,2,"w","10.0.0.1:80",500,"j.0.0.1",1,7])").has_value());
    for (const auto *call : {
             R"([1,2,"w","10.0.0.1:80",9223372036854775807,"j.0.0.1",1,7])",
             R"([1,2,"w","10.0.0.1:80",500,"j.0.0.1",-1,7])",
             R"([1,2,"w","10.0.0.1:80",500,"j.0.0.1",4294967296,7])",
             R"([1,2,"w","10.0.0.1:80",500,"j.0.0.1",1,-1])",
             R"([1,-2,"w","10.0.0.1:80",500,"j.0.0.1",1,7])",
             R"([0,1,"w","10.0.0.1:80",500,"j.0.0.1",-1,0,9000,7,"",""])",
             R"([0,1,"w","10.0.0.1:80",500,"j.0.0.1",1,0,1e300,7,"",""])",
             R"([0,1,"w","10.0.0.1:80",500,"j.0.0.1",1,-1,9000,7,"",""])",
             R"([2,3,"w","10.0.0.1:80",500,7,4,9223372036854775807])",
         }) {
        BOOST_TEST(!batch(call).has_value(), call);
    }
    const auto answer = [](const std::string &clock, const std::string &reply) {
        return cell::decodeRelayAnswer(R"({"clock":)" + clock + R"(,"stale":false,"replies":[)"
                                       + reply + "]}");
    };
    BOOST_TEST(answer("5", "[0,1,5]").has_value());
    for (const auto *clock : { "1e300", "9223372036854775807" })
        BOOST_TEST(!answer(clock, "[0,1,5]").has_value(), clock);
    for (const auto *reply :
         { R"([0,1,9223372036854775807])", R"([0,-1,5])", R"([2,3,1e300,5,[],[],false])",
           R"([2,3,17,5,[["j.0.0.1",-1,"",50]],[],false])",
           R"([2,3,17,5,[],[[-4,"j.0.0.0",1,0,""]],false])" })
        BOOST_TEST(!answer("5", reply).has_value(), reply);
}

BOOST_AUTO_TEST_SUITE_END()
