#pragma once

#include <kernel/events.h>
#include <kernel/settings.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock {

/// The other daemons, as far as heartbeats tell.
class PeerTable
{
public:
    explicit PeerTable(const KernelSettings &settings);

    void update(const event::PeerStatus &status);

    /// True if no live daemon of this region has a lower name: this daemon watches the store.
    [[nodiscard]] bool isWatcher() const;

    [[nodiscard]] std::vector<DaemonName> livePeersOfRegion() const;

    /// Two live daemons of each other region. One may have died without being missed yet.
    [[nodiscard]] std::vector<DaemonName> firstOfOtherRegions() const;

    [[nodiscard]] bool isOfOtherRegion(const DaemonName &name) const;

    /// Highest version that a live peer names; 0 if none does.
    [[nodiscard]] std::uint64_t highestVersion() const;

    /// A live peer with a version above \p version: of this region if there is one, and not
    /// \p avoided if there is another.
    [[nodiscard]] std::optional<DaemonName> peerAbove(std::uint64_t version,
                                                      const DaemonName &avoided) const;

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
