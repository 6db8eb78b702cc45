#include "cluster.h"

#include <kernel/serialization.h>
#include <ownership/records.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iostream>

using namespace cowsliprock;
using namespace cowsliprock::test;
using namespace std::chrono_literals;

namespace {

/// Three daemons that share six partitions, after their first start.
struct Fixture
{
    Cluster cluster{ Cluster::Options{} };

    Fixture() { startAll(); }

    void startAll()
    {
        for (std::size_t index = 0; index < cluster.size(); ++index)
            cluster.start(index);
        cluster.run(20s);
    }

    ~Fixture() { BOOST_TEST(cluster.violations().empty()); }

    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    /// Starts again with four daemons, of which d0 names d1 and d2 as its successors.
    void startFour()
    {
        Cluster::Options options;
        options.daemons = 4;
        cluster = Cluster(options);
        startAll();
    }

    void setStore(bool down)
    {
        cluster.forEach([down](Cluster::Daemon &daemon) { daemon.faults.storeDown = down; });
    }

    std::uint64_t callsOf(std::size_t index, const std::string &operation)
    {
        return cluster.daemon(index).calls[operation];
    }

    ownership::DaemonRecord recordOf(std::size_t index)
    {
        const auto &name = cluster.daemon(index).identity.name;
        return ownership::decodeDaemonRecord(cluster.store().value(ownership::daemonKey(name)))
            .value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ownershipStage, Fixture)

// Guards against an empty store without owners and against an uneven first assignment.
BOOST_AUTO_TEST_CASE(firstStartSharesThePartitions)
{
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(cluster.usable(index).size() == 2U);
        BOOST_TEST(cluster.daemon(index).ready);
    }
}

// Guards against calls that grow unnoticed: an idle daemon writes once per renewal interval and
// reads about once a second.
BOOST_AUTO_TEST_CASE(idleDaemonMakesFewStoreCalls)
{
    const auto reads = callsOf(0, "get");
    const auto writes = callsOf(0, "put");
    cluster.run(100s);
    std::cout << "idle: " << callsOf(0, "get") - reads << " reads and "
              << callsOf(0, "put") - writes << " writes in 100 s\n";
    BOOST_TEST(callsOf(0, "get") - reads <= 110U);
    BOOST_TEST(callsOf(0, "put") - writes <= 51U);
}

// Guards against partitions that stay without owner and against a journal that is not inherited.
BOOST_AUTO_TEST_CASE(deadDaemonIsTakenOverWithItsJournal)
{
    const auto partitions = cluster.usable(0);
    cluster.append(0, partitions[0], "caller/first", 1);
    cluster.append(0, partitions[1], "caller/second", 2);
    cluster.run(1s);
    BOOST_TEST(cluster.daemon(0).results.at(1));
    cluster.kill(0);
    cluster.run(20s);
    BOOST_TEST(cluster.usableCount() == 6U);
    for (std::size_t index = 0; index < 2; ++index) {
        const auto &inherited = cluster.tenures(partitions[index]).back()->inherited;
        BOOST_REQUIRE(inherited.size() == 1U);
        BOOST_TEST(inherited.front().identity == (index == 0 ? "caller/first" : "caller/second"));
        BOOST_TEST(inherited.front().partition.value() == partitions[index].value());
        BOOST_TEST(inherited.front().digest == index + 1);
    }
}

// Guards against entries that are lost or reordered when the head moves to segments.
BOOST_AUTO_TEST_CASE(longJournalIsKeptInSegments)
{
    const auto partition = cluster.usable(0).front();
    constexpr std::uint64_t count = 1000;
    const auto writes = callsOf(0, "put");
    for (std::uint64_t ticket = 1; ticket <= count; ++ticket) {
        cluster.append(0, partition, "caller/" + std::to_string(ticket), ticket);
        if (ticket % 100 == 0)
            cluster.run(1s);
    }
    BOOST_TEST(callsOf(0, "put") - writes <= 60U);
    BOOST_TEST(recordOf(0).segment >= 2U);
    BOOST_TEST(ownership::encodeRecord(recordOf(0)).size() < 20'000U);
    cluster.kill(0);
    cluster.run(20s);
    std::vector<std::string> identities;
    for (const auto &entry : cluster.tenures(partition).back()->inherited)
        identities.push_back(entry.identity);
    BOOST_REQUIRE(identities.size() == count);
    BOOST_TEST(identities.front() == "caller/1");
    BOOST_TEST(identities.back() == "caller/" + std::to_string(count));
}

// Guards against an owner that stops in an outage although all its successors promise, against
// entries that are reported durable then, and against a change of owner at the end.
BOOST_AUTO_TEST_CASE(ownersContinueThroughAnHourWithoutStore)
{
    setStore(true);
    for (int minute = 0; minute < 60; ++minute) {
        cluster.run(60s);
        BOOST_TEST(cluster.usableCount() == 6U);
    }
    BOOST_TEST(!cluster.daemon(0).storeReachable);
    const auto partition = cluster.usable(0).front();
    cluster.append(0, partition, "caller/key", 1);
    cluster.run(3s);
    BOOST_REQUIRE(cluster.daemon(0).results.count(1) == 1U);
    BOOST_TEST(!cluster.daemon(0).results.at(1));
    setStore(false);
    cluster.run(30s);
    BOOST_TEST(cluster.usableCount() == 6U);
    BOOST_TEST(cluster.tenures(partition).size() == 1U);
}

// Guards against an owner that trusts the promise of a successor that died.
BOOST_AUTO_TEST_CASE(ownersStopWhenASuccessorIsDeadDuringAnOutage)
{
    setStore(true);
    cluster.run(60s);
    BOOST_TEST(cluster.usableCount() == 6U);
    cluster.kill(2);
    cluster.run(7s);
    BOOST_TEST(cluster.usableCount() == 0U);
    BOOST_TEST(!cluster.daemon(0).ready);
}

// Guards against a take-over by a successor that reaches the store before the owner does.
BOOST_AUTO_TEST_CASE(storeReturnsToASuccessorFirst)
{
    setStore(true);
    cluster.run(60s);
    cluster.daemon(1).faults.storeDown = false;
    cluster.run(60s);
    BOOST_TEST(cluster.usableCount() == 6U);
    for (const auto &partition : cluster.usable(0))
        BOOST_TEST(cluster.tenures(partition).size() == 1U);
}

// Guards against a daemon that takes its own write for that of another, and against an entry that
// is written twice or answered as not durable when the reply is lost.
BOOST_AUTO_TEST_CASE(lostReplyIsRecognised)
{
    const auto partition = cluster.usable(0).front();
    cluster.daemon(0).faults.loseReplies = 1;
    cluster.append(0, partition, "caller/key", 1);
    cluster.run(600ms);
    BOOST_TEST(cluster.daemon(0).results.count(1) == 0U);
    cluster.daemon(0).faults.loseReplies = 0;
    cluster.run(2s);
    BOOST_REQUIRE(cluster.daemon(0).results.count(1) == 1U);
    BOOST_TEST(cluster.daemon(0).results.at(1));
    BOOST_TEST(recordOf(0).head.size() == 1U);
    BOOST_TEST(cluster.daemon(0).identity.incarnation == 1U);
    BOOST_TEST(cluster.usable(0).size() == 2U);
}

// Guards against a quarantine after a drain, and against a daemon that does not exit.
BOOST_AUTO_TEST_CASE(drainHandsOverWithoutQuarantine)
{
    cluster.drain(0);
    cluster.run(6s);
    BOOST_TEST(cluster.daemon(0).exited);
    BOOST_TEST(cluster.usableCount() == 6U);
    // A released record does not delay the next start.
    cluster.start(0);
    cluster.run(4s);
    BOOST_TEST(cluster.daemon(0).ready);
}

// Guards against a joining daemon without work.
BOOST_AUTO_TEST_CASE(partitionsMoveToADaemonThatJoins)
{
    cluster.drain(0);
    cluster.run(60s);
    BOOST_TEST(cluster.usable(1).size() == 3U);
    cluster.start(0);
    cluster.run(60s);
    for (std::size_t index = 0; index < 3; ++index)
        BOOST_TEST(cluster.usable(index).size() == 2U);
}

// Guards against a frozen daemon that goes on with what was taken from it.
BOOST_AUTO_TEST_CASE(fencedDaemonContinuesUnderANewIncarnation)
{
    cluster.pause(0, 40s);
    cluster.run(41s);
    BOOST_TEST(cluster.usable(0).empty());
    BOOST_TEST(cluster.daemon(0).identity.incarnation == 2U);
    cluster.run(60s);
    BOOST_TEST(cluster.usable(0).size() == 2U);
}

// Guards against partitions that wait for the end of the outage extension although the platform
// shows that the VMs of the owner and of its successors are gone.
BOOST_AUTO_TEST_CASE(vmListProvesTheEndOfAnOwner)
{
    startFour();
    cluster.setVms({ 0, 1, 2, 3 });
    for (std::size_t index = 0; index < 3; ++index)
        cluster.kill(index);
    cluster.run(60s);
    const auto before = cluster.usable(3).size();
    BOOST_TEST(before < 6U); // It is no successor of d0.
    cluster.setVms({ 3 });
    cluster.run(20s);
    BOOST_TEST(cluster.usable(3).size() == 6U);
}

// Guards against partitions without owner when only a daemon that is not named reaches the store.
BOOST_AUTO_TEST_CASE(waiverAllowsAnotherDaemonToTakeOver)
{
    startFour();
    const auto partitions = cluster.usable(0);
    for (const std::size_t successor : { 1U, 2U })
        cluster.daemon(successor).faults.storeDown = true;
    cluster.kill(0);
    cluster.run(90s);
    for (const auto &partition : partitions)
        BOOST_TEST(cluster.tenures(partition).back()->daemon == 3U);
    BOOST_TEST(cluster.usableCount() == 6U);
}

// Guards against an owner that forgets the successors of a write whose reply was lost.
BOOST_AUTO_TEST_CASE(successorsOfAnUnknownWriteCount)
{
    startFour();
    const auto indexOf = [](const DaemonIdentity &identity) {
        return static_cast<std::size_t>(std::stoul(identity.name.value().substr(1)));
    };
    const auto before = recordOf(0).successors;
    BOOST_REQUIRE(before.size() == 2U);
    const std::size_t added = 6 - indexOf(before[0]) - indexOf(before[1]);
    for (const auto writes = callsOf(0, "put"); callsOf(0, "put") == writes;)
        cluster.run(100ms);
    // A draining successor is replaced by the next renewal, but it still answers.
    cluster.drain(indexOf(before[1]), false);
    cluster.run(1500ms);
    cluster.daemon(0).faults.loseReplies = 1;
    cluster.run(1s);
    const auto after = recordOf(0).successors;
    BOOST_REQUIRE(after.size() == 2U);
    BOOST_TEST((indexOf(after[0]) == added || indexOf(after[1]) == added));
    // The new successor reaches the store, but not the owner.
    cluster.daemon(0).faults.storeDown = true;
    cluster.daemon(added).networkGroup = 1;
    cluster.run(10s);
    BOOST_TEST(cluster.usable(0).empty());
    cluster.run(15s);
}

// Guards against heartbeats that outgrow the control traffic of a daemon.
BOOST_AUTO_TEST_CASE(heartbeatIsSmall)
{
    message::Heartbeat heartbeat{
        { "region", "centre", "rack" }, "10.0.0.1:8080", "10.0.0.1:9000", 2300, false, {}
    };
    heartbeat.load.freeSlots["moss-planner"] = 100;
    heartbeat.load.waiting["moss-planner"] = 10;
    heartbeat.load.freeResources = { 1'600'000, 6'400'000, 20 };
    heartbeat.load.largestFree = { 32'000, 128'000, 4 };
    const auto bytes =
        encodeMessage({ { DaemonName("sofia-1"), 1'700'000'000'000'000U }, heartbeat }).size();
    std::cout << "heartbeat: " << bytes << " bytes\n";
    // Three a second stay under 1.5 KB/s.
    BOOST_TEST(bytes <= 500U);
}

// Guards against a successor that waived or began a take-over and then promises again for the same
// record, and against one that refuses for ever.
BOOST_AUTO_TEST_CASE(waiverHoldsUntilANewerRecord)
{
    KernelSettings settings;
    settings.self = { DaemonName("d9"), 1 };
    Kernel kernel(settings, { "ownership" });
    const DaemonIdentity owner{ DaemonName("d0"), 1 };
    const DaemonIdentity other{ DaemonName("d1"), 1 };
    const auto ask = [&kernel](const DaemonIdentity &from, const Message &message, TimePoint now) {
        const auto effects = kernel.handle(event::PeerMessage{ from, message }, now);
        return std::get<effect::SendPeer>(effects.back()).message;
    };
    const auto promises = [&](std::uint64_t version, TimePoint now) {
        return std::get<message::PromiseReply>(
                   ask(owner, message::PromiseRequest{ 1, version }, now))
            .granted;
    };
    const auto waives = [&](std::uint64_t version, TimePoint now) {
        return std::get<message::WaiverReply>(
                   ask(other, message::WaiverRequest{ owner, version }, now))
            .waived;
    };
    const TimePoint start(1000s);
    BOOST_TEST(promises(7, start));
    BOOST_TEST(!waives(7, start + 5s));
    BOOST_TEST(waives(7, start + 7s));
    BOOST_TEST(!promises(7, start + 8s));
    BOOST_TEST(promises(8, start + 9s));
}

// Guards against an answer to operators that lacks a documented member.
BOOST_AUTO_TEST_CASE(operatorsSeeTheDaemons)
{
    cluster.give(0, event::OperatorCall{ OperationId("1"), "daemons", "" });
    const auto &answer = cluster.daemon(0).lastAnswer;
    for (const std::string member : { "self", "validForMs", "storeReachable", "partitions", "peers",
                                      "incarnation", "alive", "configurationVersion" })
        BOOST_TEST(answer.find("\"" + member + "\"") != std::string::npos, member);
}

BOOST_AUTO_TEST_SUITE_END()
