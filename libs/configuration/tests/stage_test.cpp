#include "../src/records.h"

#include <kernel/kernel.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

/// One kernel with the configuration stage; collects what it asks for.
class Daemon
{
public:
    Daemon()
        : m_kernel(KernelSettings{}, { "configuration" })
    {
        give(event::Started{});
    }

    void give(const Event &event)
    {
        m_now += 50ms;
        for (const Effect &effect : m_kernel.handle(event, m_now)) {
            if (const auto *readiness = std::get_if<effect::SetReady>(&effect))
                ready.push_back(readiness->ready);
            if (const auto *call = std::get_if<effect::StoreCall>(&effect))
                lastCall = call->call;
            if (const auto *answer = std::get_if<effect::AnswerOperator>(&effect))
                answers.push_back({ answer->httpStatus, answer->body });
        }
    }

    void storeAnswers(event::StoreStatus status, const std::string &value = {})
    {
        give(event::StoreReply{ lastCall, status, 1, value, {}, {} });
    }

    void peerNames(std::uint64_t version)
    {
        event::PeerStatus status;
        status.peer.name = DaemonName("peer");
        status.configurationVersion = version;
        give(status);
    }

    std::vector<bool> ready;
    std::vector<std::pair<int, std::string>> answers;
    CallId lastCall;

private:
    Kernel m_kernel;
    TimePoint m_now;
};

[[nodiscard]] std::string encodedVersion(std::uint64_t version)
{
    HeldConfiguration held;
    held.version = version;
    held.digest = documentDigest(held.document);
    return encodeHeld(held);
}

} // namespace

// Guards against a restarted daemon that takes requests under an older configuration than its
// peers.
BOOST_AUTO_TEST_CASE(restartedDaemonIsReadyOnceItHasThePeersVersion)
{
    Daemon daemon;
    daemon.peerNames(5);
    daemon.storeAnswers(event::StoreStatus::Ok, encodedVersion(4)); // A stale read.
    BOOST_TEST((daemon.ready == std::vector{ false }));
    daemon.give(event::PeerMessage{ { DaemonName("peer"), 1 },
                                    message::ConfigurationPush{ 0, 5, { encodedVersion(5) } } });
    BOOST_TEST((daemon.ready == std::vector{ false, true }));
}

// Guards against a daemon that takes an unavailable store for one without a configuration.
BOOST_AUTO_TEST_CASE(unavailableStoreDoesNotMakeReady)
{
    Daemon daemon;
    daemon.storeAnswers(event::StoreStatus::Unavailable);
    for (int tick = 0; tick < 100; ++tick)
        daemon.give(event::Tick{});
    BOOST_TEST((daemon.ready == std::vector{ false }));
    daemon.storeAnswers(event::StoreStatus::NotFound);
    BOOST_TEST((daemon.ready == std::vector{ false, true }));
}

// Guards against an operator that waits for an answer that never comes, or gets the wrong one.
BOOST_AUTO_TEST_CASE(operatorIsAnsweredOnce)
{
    Daemon daemon;
    daemon.storeAnswers(event::StoreStatus::NotFound);
    const auto call = [&](const char *action, const char *body) {
        daemon.give(event::OperatorCall{ OperationId("o"), action, body });
    };
    call("configurationValidate", R"({"teams":[{"name":"t"}]})");
    call("configurationApply", R"({"baseVersion":-1,"document":{}})");
    call("configurationApply", R"({"baseVersion":0,"document":{"a":1}})");
    call("configurationApply", R"({"baseVersion":0,"document":{}})");
    daemon.storeAnswers(event::StoreStatus::Unavailable);
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
