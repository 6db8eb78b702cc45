#include "../src/records.h"

#include <kernel/kernel.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

/// A kernel with the configuration stage; records the effects that it requests.
class Daemon
{
public:
    Daemon()
        : m_kernel(KernelSettings{}, { "configuration" })
    {
        deliver(event::Started{});
    }

    void deliver(const Event &event)
    {
        m_now += 50ms;
        for (const Effect &effect : m_kernel.handle(event, m_now)) {
            if (const auto *readiness = std::get_if<effect::SetReady>(&effect))
                ready.push_back(readiness->ready);
            if (const auto *call = std::get_if<effect::StoreCall>(&effect))
                lastStoreCall = *call;
            if (const auto *answer = std::get_if<effect::AnswerOperator>(&effect))
                answers.push_back({ answer->httpStatus, answer->body });
        }
    }

    void answerStoreCall(event::StoreStatus status, const std::string &value = {},
                         std::uint64_t version = 1)
    {
        deliver(event::StoreReply{ lastStoreCall.call, status, version, value, {}, {} });
    }

    void reportPeerVersion(std::uint64_t version)
    {
        event::PeerStatus status;
        status.peer.name = DaemonName("peer");
        status.configurationVersion = version;
        deliver(status);
    }

    std::vector<bool> ready;
    std::vector<std::pair<int, std::string>> answers;
    effect::StoreCall lastStoreCall;

private:
    Kernel m_kernel;
    TimePoint m_now;
};

[[nodiscard]] std::string encodedVersion(std::uint64_t version)
{
    ConfigurationRecord record;
    record.version = version;
    record.digest = documentDigest(record.document);
    return encodeConfigurationRecord(record);
}

} // namespace

// Guards against a restarted daemon that serves requests with an older configuration than its
// peers.
BOOST_AUTO_TEST_CASE(restartedDaemonIsReadyOnceItHasThePeersVersion)
{
    Daemon daemon;
    daemon.reportPeerVersion(5);
    daemon.answerStoreCall(event::StoreStatus::Ok, encodedVersion(4)); // A stale read.
    BOOST_TEST((daemon.ready == std::vector{ false }));
    daemon.deliver(event::PeerMessage{ { DaemonName("peer"), 1 },
                                       message::ConfigurationPush{ 0, 5, { encodedVersion(5) } } });
    BOOST_TEST((daemon.ready == std::vector{ false, true }));
}

// Guards against a daemon that treats an unavailable store as one that contains no configuration.
BOOST_AUTO_TEST_CASE(unavailableStoreDoesNotMakeReady)
{
    Daemon daemon;
    daemon.answerStoreCall(event::StoreStatus::Unavailable);
    for (int tick = 0; tick < 100; ++tick)
        daemon.deliver(event::Tick{});
    BOOST_TEST((daemon.ready == std::vector{ false }));
    daemon.answerStoreCall(event::StoreStatus::NotFound);
    BOOST_TEST((daemon.ready == std::vector{ false, true }));
}

// Guards against a rolled-back store in which no further change can be applied.
BOOST_AUTO_TEST_CASE(changeReplacesAnOlderStateOfTheStore)
{
    Daemon daemon;
    daemon.answerStoreCall(event::StoreStatus::Ok, encodedVersion(5), 9);
    daemon.deliver(event::OperatorCall{ OperationId("o"), "configurationApply",
                                        R"({"baseVersion":5,"document":{"teams":[]}})" });
    daemon.answerStoreCall(event::StoreStatus::Ok); // Reply to the proposal.
    BOOST_TEST(daemon.lastStoreCall.version == 9U);
    daemon.answerStoreCall(event::StoreStatus::Conflict, encodedVersion(3), 4);
    BOOST_TEST(daemon.lastStoreCall.key == currentKey);
    BOOST_TEST(daemon.lastStoreCall.version == 4U);
    daemon.answerStoreCall(event::StoreStatus::Ok, {}, 5);
    BOOST_REQUIRE(daemon.answers.size() == 1U);
    BOOST_TEST(daemon.answers.front().second == R"({"version":6})");
}

// Guards against an operator call that is never answered or gets the wrong answer.
BOOST_AUTO_TEST_CASE(operatorIsAnsweredOnce)
{
    Daemon daemon;
    daemon.answerStoreCall(event::StoreStatus::NotFound);
    const auto call = [&](const char *action, const char *body) {
        daemon.deliver(event::OperatorCall{ OperationId("o"), action, body });
    };
    call("configurationValidate", R"({"teams":[{"name":"t"}]})");
    call("configurationApply", R"({"baseVersion":-1,"document":{}})");
    call("configurationApply", R"({"baseVersion":0,"document":{"a":1}})");
    call("configurationApply", R"({"baseVersion":0,"document":{}})");
    daemon.answerStoreCall(event::StoreStatus::Unavailable);
    const std::vector<std::pair<int, std::string>> expected{
        { 422, "/teams/0/quota" }, { 422, "/baseVersion" }, { 422, "\"/a\"" }, { 503, "not-run" }
    };
    BOOST_REQUIRE(daemon.answers.size() == expected.size());
    for (std::size_t index = 0; index < expected.size(); ++index) {
        BOOST_TEST(daemon.answers[index].first == expected[index].first);
        BOOST_TEST((daemon.answers[index].second.find(expected[index].second) != std::string::npos),
                   daemon.answers[index].second);
    }
}
