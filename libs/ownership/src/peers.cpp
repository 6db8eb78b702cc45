#include "peers.h"

#include <algorithm>
#include <tuple>

namespace cowsliprock::ownership {

namespace {

// Consecutive heartbeats that may be lost before a peer is considered dead.
constexpr int maxMissedHeartbeats = 3;
constexpr std::size_t successorCount = 2;

void add(LoadSummary &sum, const LoadSummary &part)
{
    for (const auto &[service, slots] : part.freeSlots)
        sum.freeSlots[service] += slots;
    for (const auto &[service, requests] : part.waiting)
        sum.waiting[service] += requests;
    sum.freeResources += part.freeResources;
    auto &largest = sum.largestFree;
    largest.cpuMillis = std::max(largest.cpuMillis, part.largestFree.cpuMillis);
    largest.memoryMb = std::max(largest.memoryMb, part.largestFree.memoryMb);
    largest.accelerators = std::max(largest.accelerators, part.largestFree.accelerators);
    sum.workerTypes.insert(sum.workerTypes.end(), part.workerTypes.begin(), part.workerTypes.end());
}

} // namespace

Peers::Peers(const SharedState &shared)
    : m_shared(shared)
{
    for (const auto &address : shared.settings.peers) {
        Peer peer;
        peer.identity.name = address.name;
        peer.location = address.location;
        if (isSameRegion(peer))
            m_near.push_back(address.name);
        else
            m_far[address.location.region].push_back(address.name);
        m_peers.emplace(address.name, std::move(peer));
    }
}

void Peers::tick(EventContext &context)
{
    sendHeartbeats(context);
    for (auto &[name, peer] : m_peers) {
        if (peer.alive && context.now - peer.lastHeardAt > livenessTimeout(peer)) {
            peer.alive = false;
            context.output.log(peer.identity.text()
                               + " is unresponsive: no message received within the time-out");
            raiseStatus(peer, context);
        }
    }
}

void Peers::sendHeartbeats(EventContext &context)
{
    const auto &settings = m_shared.settings;
    if (!m_near.empty()
        && (!m_lastNearAt || context.now - *m_lastNearAt >= settings.heartbeatInterval)) {
        m_lastNearAt = context.now;
        const auto &to = m_near[m_nextNear++ % m_near.size()];
        context.output.perform(effect::SendPeer{ to, makeHeartbeat() });
    }
    if (!m_lastFarAt || context.now - *m_lastFarAt >= settings.farHeartbeatInterval) {
        m_lastFarAt = context.now;
        for (const auto &[region, names] : m_far) {
            const auto &to = names[m_nextFar % names.size()];
            context.output.perform(effect::SendPeer{ to, makeHeartbeat() });
        }
        ++m_nextFar;
    }
}

message::Heartbeat Peers::makeHeartbeat() const
{
    message::Heartbeat result;
    result.location = m_shared.settings.location;
    result.address = m_shared.settings.httpAddress;
    result.peerAddress = m_shared.settings.peerAddress;
    result.configurationVersion = m_configurationVersion;
    result.draining = m_draining;
    result.partitions = m_partitions;
    for (const auto &[stage, load] : m_loads)
        add(result.load, load);
    return result;
}

Duration Peers::expectedInterval(const Peer &peer) const
{
    // Heartbeats are sent to one peer at a time in rotation, so the time between two heartbeats to
    // the same peer grows with the number of peers.
    const auto near = static_cast<std::int64_t>(m_near.size());
    return isSameRegion(peer) ? m_shared.settings.heartbeatInterval * near
                              : m_shared.settings.farHeartbeatInterval * (near + 1);
}

Duration Peers::livenessTimeout(const Peer &peer) const
{
    return std::max(m_shared.settings.peerTimeout, expectedInterval(peer) * maxMissedHeartbeats);
}

bool Peers::isOverdue(const DaemonName &name, TimePoint now) const
{
    const auto *peer = find(name);
    return peer == nullptr || !peer->alive || now - peer->lastHeardAt > 2 * expectedInterval(*peer);
}

void Peers::handleMessage(const event::PeerMessage &message, EventContext &context)
{
    auto &peer = m_peers[message.from.name];
    // Messages of a previous incarnation may arrive late.
    if (message.from.incarnation < peer.identity.incarnation)
        return;
    if (message.from != peer.identity && peer.alive) {
        peer.alive = false;
        raiseStatus(peer, context);
    }
    const bool wasAlive = std::exchange(peer.alive, true);
    peer.identity = message.from;
    peer.lastHeardAt = context.now;
    const auto *heartbeat = std::get_if<message::Heartbeat>(&message.message);
    if (heartbeat != nullptr) {
        peer.location = heartbeat->location;
        peer.draining = heartbeat->draining;
        peer.configurationVersion = heartbeat->configurationVersion;
        peer.load = heartbeat->load;
        peer.partitions = heartbeat->partitions;
    }
    if (heartbeat != nullptr || !wasAlive)
        raiseStatus(peer, context);
}

void Peers::raiseStatus(const Peer &peer, EventContext &context)
{
    context.output.raise(event::PeerStatus{ peer.identity, peer.location, peer.alive, peer.draining,
                                            peer.configurationVersion, peer.load });
}

std::uint64_t Peers::highestPeerConfigurationVersion() const noexcept
{
    std::uint64_t highest = 0;
    for (const auto &[name, peer] : m_peers)
        highest = std::max(highest, peer.configurationVersion);
    return highest;
}

void Peers::addFarOwners(std::map<PartitionId, DaemonIdentity> &owners) const
{
    for (const auto &[name, peer] : m_peers) {
        if (isSameRegion(peer) || !peer.alive)
            continue;
        for (const auto &partition : peer.partitions)
            owners.emplace(partition, peer.identity);
    }
}

const Peers::Peer *Peers::find(const DaemonName &name) const
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool Peers::isAlive(const DaemonName &name) const
{
    const auto *peer = find(name);
    return peer != nullptr && peer->alive;
}

std::vector<const Peers::Peer *> Peers::eligiblePeers() const
{
    std::vector<const Peer *> result;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive && !peer.draining && isSameRegion(peer))
            result.push_back(&peer);
    }
    return result;
}

std::vector<DaemonIdentity>
Peers::chooseSuccessors(const std::vector<DaemonIdentity> &current) const
{
    std::vector<DaemonIdentity> candidates;
    for (const auto *peer : eligiblePeers())
        candidates.push_back(peer->identity);
    // Prefer the current successors: until a change is confirmed, promises of the old and of the
    // new successors are needed.
    std::sort(candidates.begin(), candidates.end(),
              [&current, this](const DaemonIdentity &left, const DaemonIdentity &right) {
                  const auto rank = [&current, this](const DaemonIdentity &identity) {
                      const bool isNew =
                          std::find(current.begin(), current.end(), identity) == current.end();
                      const bool isBefore = identity.name < m_shared.self.name;
                      return std::tuple(isNew, isBefore, identity);
                  };
                  return rank(left) < rank(right);
              });
    candidates.resize(std::min(candidates.size(), successorCount));
    std::sort(candidates.begin(), candidates.end());
    return candidates;
}

} // namespace cowsliprock::ownership
