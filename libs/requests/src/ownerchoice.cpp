#include "ownerchoice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cowsliprock::requests {

namespace {

/// Round trip between regions, at 20 ms per direction.
constexpr Duration crossRegionRoundTrip = std::chrono::milliseconds(40);

[[nodiscard]] std::uint32_t countOf(const std::map<std::string, std::uint32_t> &counts,
                                    const std::string &service)
{
    const auto found = counts.find(service);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

OwnerChoice::OwnerChoice(Context &context)
    : m_context(context)
{ }

void OwnerChoice::update(const event::PeerStatus &status)
{
    if (!status.alive || status.draining)
        m_peers.erase(status.peer.name);
    else
        m_peers[status.peer.name] = { status.peer, status.location.region, status.load, {} };
}

OwnerChoice::Candidates OwnerChoice::candidates(const std::string &service, const LocalLoad &local,
                                                const std::set<DaemonName> &excluded) const
{
    Candidates result;
    if (local.hasEndpoints && !excluded.contains(m_context.settings.self.name))
        result.push_back({ m_context.settings.self, true, local.freeSlots, local.waiting });
    for (const auto &[name, peer] : m_peers) {
        const auto free = peer.load.freeSlots.find(service);
        if (free == peer.load.freeSlots.end() || excluded.contains(name))
            continue;
        const std::uint32_t sent = countOf(peer.sent, service);
        const std::uint32_t taken = std::min(sent, free->second);
        result.push_back({ peer.identity, peer.region == m_context.settings.location.region,
                           free->second - taken,
                           countOf(peer.load.waiting, service) + sent - taken });
    }
    return result;
}

OwnerChoice::Candidates OwnerChoice::nearest(const Candidates &all, bool crossRegionAllowed)
{
    const auto select = [&all](bool sameRegion, bool free) {
        Candidates group;
        std::copy_if(all.begin(), all.end(), std::back_inserter(group), [=](const auto &candidate) {
            return candidate.sameRegion == sameRegion && (candidate.freeSlots > 0 || !free);
        });
        return group;
    };
    if (auto group = select(true, true); !group.empty())
        return group;
    if (auto group = select(false, true); crossRegionAllowed && !group.empty())
        return group;
    if (auto group = select(true, false); !group.empty())
        return group;
    return crossRegionAllowed ? select(false, false) : Candidates{};
}

std::size_t OwnerChoice::sample(const Candidates &group, std::size_t excludedIndex)
{
    std::uint32_t longestQueue = 0;
    for (const auto &candidate : group)
        longestQueue = std::max(longestQueue, candidate.waiting);
    // Either all members of the group have free slots, or the group was selected regardless of free
    // slots.
    const auto weight = [&](std::size_t index) -> std::uint64_t {
        if (index == excludedIndex)
            return 0;
        const Candidate &candidate = group[index];
        return candidate.freeSlots > 0 ? candidate.freeSlots : 1 + longestQueue - candidate.waiting;
    };
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < group.size(); ++index)
        sum += weight(index);
    std::uint64_t remaining = m_context.randomBelow(sum);
    std::size_t index = 0;
    while (remaining >= weight(index))
        remaining -= weight(index++);
    return index;
}

const OwnerChoice::Candidate &OwnerChoice::better(const Candidate &first,
                                                  const Candidate &second) const
{
    const auto score = [](const Candidate &candidate) {
        return std::int64_t(candidate.freeSlots) - std::int64_t(candidate.waiting);
    };
    if (score(first) != score(second))
        return score(first) > score(second) ? first : second;
    // On a tie, prefers this daemon, which needs no message between daemons.
    return second.identity.name == m_context.settings.self.name ? second : first;
}

std::optional<DaemonIdentity> OwnerChoice::choose(const std::string &service,
                                                  const LocalLoad &local, Duration timeLeft,
                                                  const std::set<DaemonName> &excluded)
{
    const ServiceDefinition *definition = m_context.service(service);
    const Duration served = definition != nullptr ? definition->expectedServiceTime : Duration(0);
    const Candidates group =
        nearest(candidates(service, local, excluded), timeLeft >= served + crossRegionRoundTrip);
    if (group.empty())
        return std::nullopt;
    const std::size_t first = sample(group, group.size());
    const Candidate &chosen =
        group.size() == 1 ? group.front() : better(group[first], group[sample(group, first)]);
    if (const auto peer = m_peers.find(chosen.identity.name); peer != m_peers.end())
        ++peer->second.sent[service];
    return chosen.identity;
}

} // namespace cowsliprock::requests
