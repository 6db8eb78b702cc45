#include "ownerchoice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cowsliprock::requests {

namespace {

/// Two region crossings of 20 ms.
constexpr Duration farRoundTrip = std::chrono::milliseconds(40);

[[nodiscard]] std::uint32_t valueOf(const std::map<std::string, std::uint32_t> &counts,
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

OwnerChoice::Candidates OwnerChoice::candidates(const std::string &service, const OwnLoad &own,
                                                const std::set<DaemonName> &excluded) const
{
    Candidates result;
    if (own.offers && !excluded.contains(m_context.settings.self.name))
        result.push_back({ m_context.settings.self, true, own.freeSlots, own.waiting });
    for (const auto &[name, peer] : m_peers) {
        const auto free = peer.load.freeSlots.find(service);
        if (free == peer.load.freeSlots.end() || excluded.contains(name))
            continue;
        const std::uint32_t sent = valueOf(peer.sent, service);
        const std::uint32_t taken = std::min(sent, free->second);
        result.push_back({ peer.identity, peer.region == m_context.settings.location.region,
                           free->second - taken,
                           valueOf(peer.load.waiting, service) + sent - taken });
    }
    return result;
}

OwnerChoice::Candidates OwnerChoice::nearest(const Candidates &all, bool farAllowed)
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
    if (auto group = select(false, true); farAllowed && !group.empty())
        return group;
    if (auto group = select(true, false); !group.empty())
        return group;
    return farAllowed ? select(false, false) : Candidates{};
}

std::size_t OwnerChoice::sample(const Candidates &group, std::size_t without)
{
    std::uint32_t longest = 0;
    for (const auto &candidate : group)
        longest = std::max(longest, candidate.waiting);
    // All members of a group have free slots, or the group is one without regard to free slots.
    const auto weight = [&](std::size_t index) -> std::uint64_t {
        if (index == without)
            return 0;
        const Candidate &candidate = group[index];
        return candidate.freeSlots > 0 ? candidate.freeSlots : 1 + longest - candidate.waiting;
    };
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < group.size(); ++index)
        sum += weight(index);
    std::uint64_t drawn = m_context.randomBelow(sum);
    std::size_t index = 0;
    while (drawn >= weight(index))
        drawn -= weight(index++);
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
    // Equal: without a message between daemons if possible.
    return second.identity.name == m_context.settings.self.name ? second : first;
}

std::optional<DaemonIdentity> OwnerChoice::choose(const std::string &service, const OwnLoad &own,
                                                  Duration timeLeft,
                                                  const std::set<DaemonName> &excluded)
{
    const ServiceDefinition *definition = m_context.service(service);
    const Duration served = definition != nullptr ? definition->expectedServiceTime : Duration(0);
    const Candidates group =
        nearest(candidates(service, own, excluded), timeLeft >= served + farRoundTrip);
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
