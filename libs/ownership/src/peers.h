#pragma once

#include "context.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::ownership {

/// Sends and receives heartbeats and knows which daemons are alive.
class Peers
{
public:
    struct Peer
    {
        DaemonIdentity identity; ///< Incarnation 0 until it was heard of.
        Location location;
        bool alive = false;
        bool draining = false;
        std::uint64_t configurationVersion = 0;
        LoadSummary load;
        std::vector<PartitionId> partitions; ///< As its last heartbeat told.
        TimePoint heardAt;
    };

    explicit Peers(const Shared &shared);

    void tick(EventContext &context);
    /// Any message shows that its sender is alive.
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
    [[nodiscard]] std::uint64_t highestPeerVersion() const noexcept;

    [[nodiscard]] const std::map<DaemonName, Peer> &all() const noexcept { return m_peers; }
    [[nodiscard]] const Peer *find(const DaemonName &name) const;
    [[nodiscard]] bool isAlive(const DaemonName &name) const;

    /// True if heartbeats of the peer are overdue, before it counts as dead.
    [[nodiscard]] bool isOverdue(const DaemonName &name, TimePoint now) const;

    /// Peers of this region that take part in the ownership: alive and not draining.
    [[nodiscard]] std::vector<const Peer *> takingPart() const;
    /// Adds the partitions of other regions, whose ownership records this daemon does not read.
    void addFarOwners(std::map<PartitionId, DaemonIdentity> &owners) const;
    [[nodiscard]] bool isSameRegion(const Peer &peer) const
    {
        return peer.location.region == m_shared.settings.location.region;
    }

    /// Up to two successors: \p present as far as they take part, then the next in name order.
    [[nodiscard]] std::vector<DaemonIdentity>
    chooseSuccessors(const std::vector<DaemonIdentity> &present) const;

private:
    void sendHeartbeats(EventContext &context);
    [[nodiscard]] message::Heartbeat heartbeat() const;
    [[nodiscard]] Duration expectedInterval(const Peer &peer) const;
    [[nodiscard]] Duration timeLimit(const Peer &peer) const;
    static void raiseStatus(const Peer &peer, EventContext &context);

    const Shared &m_shared;
    std::map<DaemonName, Peer> m_peers;
    std::vector<DaemonName> m_near;                       ///< Of this region.
    std::map<std::string, std::vector<DaemonName>> m_far; ///< By region.
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
