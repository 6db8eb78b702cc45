#include "peertable.h"

#include <algorithm>
#include <tuple>

namespace cowsliprock {

PeerTable::PeerTable(const KernelSettings &settings)
    : m_self(settings.self.name)
    , m_region(settings.location.region)
{
    for (const auto &peer : settings.peers)
        m_peers[peer.name].region = peer.location.region;
}

void PeerTable::update(const event::PeerStatus &status)
{
    if (status.peer.name == m_self)
        return;
    Peer &peer = m_peers[status.peer.name];
    if (!status.location.region.empty())
        peer.region = status.location.region;
    peer.alive = status.alive;
    peer.version = status.configurationVersion;
}

bool PeerTable::isWatcher() const
{
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const auto &[name, peer] = entry;
        return peer.alive && peer.region == m_region && name < m_self;
    });
}

std::vector<DaemonName> PeerTable::livePeersInRegion() const
{
    std::vector<DaemonName> names;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive && peer.region == m_region)
            names.push_back(name);
    }
    return names;
}

std::vector<DaemonName> PeerTable::livePeersInOtherRegions() const
{
    constexpr int maxPerRegion = 2;
    std::map<std::string, int> countByRegion;
    std::vector<DaemonName> names;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive && peer.region != m_region && countByRegion[peer.region]++ < maxPerRegion)
            names.push_back(name);
    }
    return names;
}

bool PeerTable::isInOtherRegion(const DaemonName &name) const
{
    const auto peer = m_peers.find(name);
    return peer != m_peers.end() && peer->second.region != m_region;
}

std::uint64_t PeerTable::highestVersion() const
{
    std::uint64_t highest = 0;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive)
            highest = std::max(highest, peer.version);
    }
    return highest;
}

std::optional<DaemonName> PeerTable::findNewerPeer(std::uint64_t version,
                                                   const DaemonName &leastPreferred) const
{
    std::optional<DaemonName> best;
    std::tuple<bool, bool, std::uint64_t> bestRank;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.alive || peer.version <= version)
            continue;
        const std::tuple rank(name != leastPreferred, peer.region == m_region, peer.version);
        if (!best || rank > bestRank) {
            best = name;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace cowsliprock
