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
                last = *call;
            if (const auto *answer = std::get_if<effect::AnswerOperator>(&effect))
                answers.push_back({ answer->httpStatus, answer->body });
        }
    }

    void storeAnswers(event::StoreStatus status, const std::string &value = {},
                      std::uint64_t version = 1)
    {
        give(event::StoreReply{ last.call, status, version, value, {}, {} });
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
    effect::StoreCall last;

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

// Guards against a store that was set back, where no change could be applied any more.
BOOST_AUTO_TEST_CASE(changeReplacesAnOlderStateOfTheStore)
{
    Daemon daemon;
    daemon.storeAnswers(event::StoreStatus::Ok, encodedVersion(5), 9);
    daemon.give(event::OperatorCall{ OperationId("o"), "configurationApply",
                                     R"({"baseVersion":5,"document":{"teams":[]}})" });
    daemon.storeAnswers(event::StoreStatus::Ok); // The proposal.
    BOOST_TEST(daemon.last.version == 9U);
    daemon.storeAnswers(event::StoreStatus::Conflict, encodedVersion(3), 4);
    BOOST_TEST(daemon.last.key == currentKey);
    BOOST_TEST(daemon.last.version == 4U);
    daemon.storeAnswers(event::StoreStatus::Ok, {}, 5);
    BOOST_REQUIRE(daemon.answers.size() == 1U);
    BOOST_TEST(daemon.answers.front().second == R"({"version":6})");
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
