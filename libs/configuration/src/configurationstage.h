#pragma once

#include "applyflow.h"
#include "storefollower.h"

#include <configuration/document.h>

#include <optional>
#include <string>

namespace cowsliprock {

/// Maintains the configuration in force on this daemon: follows the store and the peers, and
/// applies the changes of operators.
class ConfigurationStage : public Stage
{
public:
    explicit ConfigurationStage(const KernelSettings &settings);

    void handle(const Event &event, TimePoint now, Output &output) override;
    [[nodiscard]] std::string snapshot() const override;

private:
    void start(TimePoint now, Output &output);
    /// Returns false if the message belongs to another stage.
    bool handleMessage(const event::PeerMessage &received, TimePoint now, Output &output);
    void handlePush(const DaemonName &from, const message::ConfigurationPush &push, TimePoint now,
                    Output &output);
    void handleOperator(const event::OperatorCall &call, Output &output);
    void validate(const event::OperatorCall &call, Output &output) const;
    void apply(const event::OperatorCall &call, Output &output);

    void advance(TimePoint now, Output &output);
    void announce(Output &output);
    void pushToPeers(Output &output) const;
    void pullIfBehind(TimePoint now, Output &output);
    void pull(const DaemonName &from, std::uint64_t haveVersion, TimePoint now, Output &output);
    void reportReadiness(Output &output);

    ConfigurationContext m_context;
    VersionKeeper m_versions;
    PeerTable m_peers;
    CallSequence m_calls;
    StoreFollower m_follower;
    ApplyFlow m_applyFlow;

    std::optional<TimePoint> m_startedAt;
    std::optional<std::uint64_t> m_announcedVersion;
    DaemonName m_versionSource; ///< Peer that supplied the newest version; empty if the store did.
    std::optional<TimePoint> m_behindSince;
    std::optional<TimePoint> m_pulledAt;
    DaemonName m_pulledFrom;
    std::uint64_t m_unreadableVersion = 0; ///< Not pulled again, since this release cannot read it.
    bool m_ready = false;
};

} // namespace cowsliprock
