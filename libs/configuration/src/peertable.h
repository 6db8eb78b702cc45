#pragma once

#include <kernel/events.h>
#include <kernel/settings.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock {

/// Status of the other daemons as reported by heartbeats.
class PeerTable
{
public:
    explicit PeerTable(const KernelSettings &settings);

    void update(const event::PeerStatus &status);

    /// Returns true if this daemon watches the store for its region, that is, if no live daemon of
    /// the region has a lexicographically lower name.
    [[nodiscard]] bool isWatcher() const;

    [[nodiscard]] std::vector<DaemonName> livePeersInRegion() const;

    /// Up to two live daemons of each other region. A single one might have failed without having
    /// been detected yet.
    [[nodiscard]] std::vector<DaemonName> livePeersInOtherRegions() const;

    [[nodiscard]] bool isInOtherRegion(const DaemonName &name) const;

    /// Highest version reported by a live peer; 0 if there is none.
    [[nodiscard]] std::uint64_t highestVersion() const;

    /// Selects a live peer that has a version newer than \p version. Any peer is preferred over
    /// \p leastPreferred, then peers of this region over those of other regions.
    [[nodiscard]] std::optional<DaemonName> findNewerPeer(std::uint64_t version,
                                                          const DaemonName &leastPreferred) const;

private:
    struct Peer
    {
        std::string region;
        bool alive = false;
        std::uint64_t version = 0;
    };

    DaemonName m_self;
    std::string m_region;
    std::map<DaemonName, Peer> m_peers;
};

} // namespace cowsliprock
