#pragma once

#include "context.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::ownership {

/// Sends and receives heartbeats and tracks which daemons are alive.
class Peers
{
public:
    struct Peer
    {
        DaemonIdentity identity; ///< Incarnation 0 until the first message is received.
        Location location;
        bool alive = false;
        bool draining = false;
        std::uint64_t configurationVersion = 0;
        LoadSummary load;
        std::vector<PartitionId> partitions; ///< From its last heartbeat.
        TimePoint lastHeardAt;
    };

    explicit Peers(const SharedState &shared);

    void tick(EventContext &context);
    /// Any message is evidence that its sender is alive.
    void handleMessage(const event::PeerMessage &message, EventContext &context);

    void setDraining(bool draining) noexcept { m_draining = draining; }
    void setLoad(const event::LoadChanged &change) { m_loads[change.stage] = change.load; }
    void setPartitions(std::vector<PartitionId> partitions)
    {
        m_partitions = std::move(partitions);
    }
    void setConfigurationVersion(std::uint64_t version) noexcept
    {
        m_configurationVersion = version;
    }
    [[nodiscard]] std::uint64_t configurationVersion() const noexcept
    {
        return m_configurationVersion;
    }
    [[nodiscard]] std::uint64_t highestPeerConfigurationVersion() const noexcept;

    [[nodiscard]] const std::map<DaemonName, Peer> &all() const noexcept { return m_peers; }
    [[nodiscard]] const Peer *find(const DaemonName &name) const;
    [[nodiscard]] bool isAlive(const DaemonName &name) const;

    /// True if heartbeats of the peer are overdue. This is the case before the peer is considered
    /// dead.
    [[nodiscard]] bool isOverdue(const DaemonName &name, TimePoint now) const;

    /// Peers of this region that may own partitions: alive and not draining.
    [[nodiscard]] std::vector<const Peer *> eligiblePeers() const;
    /// Adds the owners of other regions' partitions, taken from heartbeats, because this daemon
    /// does not read the ownership records of other regions.
    void addFarOwners(std::map<PartitionId, DaemonIdentity> &owners) const;
    [[nodiscard]] bool isSameRegion(const Peer &peer) const
    {
        return peer.location.region == m_shared.settings.location.region;
    }

    /// Returns up to two successors: those of \p current that are eligible, then the next eligible
    /// peers in name order.
    [[nodiscard]] std::vector<DaemonIdentity>
    chooseSuccessors(const std::vector<DaemonIdentity> &current) const;

private:
    void sendHeartbeats(EventContext &context);
    [[nodiscard]] message::Heartbeat makeHeartbeat() const;
    [[nodiscard]] Duration expectedInterval(const Peer &peer) const;
    [[nodiscard]] Duration livenessTimeout(const Peer &peer) const;
    static void raiseStatus(const Peer &peer, EventContext &context);

    const SharedState &m_shared;
    std::map<DaemonName, Peer> m_peers;
    std::vector<DaemonName> m_near;                       ///< Peers of this region.
    std::map<std::string, std::vector<DaemonName>> m_far; ///< Peers of other regions, by region.
    std::map<std::string, LoadSummary> m_loads;           ///< By stage.
    std::size_t m_nextNear = 0;
    std::size_t m_nextFar = 0;
    std::optional<TimePoint> m_lastNearAt;
    std::optional<TimePoint> m_lastFarAt;
    std::uint64_t m_configurationVersion = 0;
    std::vector<PartitionId> m_partitions;
    bool m_draining = false;
};

} // namespace cowsliprock::ownership
