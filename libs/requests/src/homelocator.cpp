#include "homelocator.h"

#include <set>

namespace cowsliprock::requests {

HomeLocator::HomeLocator(Context &context)
    : m_context(context)
{
    std::set<std::pair<std::string, std::string>> locations;
    std::set<std::string> all;
    const auto add = [&](const Location &location) {
        locations.emplace(location.region, location.dataCentre);
        all.insert(location.dataCentre);
    };
    add(context.settings.location);
    for (const auto &peer : context.settings.peers)
        add(peer.location);
    for (const auto &[region, dataCentre] : locations)
        m_dataCentres[region].push_back(dataCentre);
    m_allDataCentres.assign(all.begin(), all.end());
}

PartitionId HomeLocator::partition(const RequestProfile &profile) const
{
    const std::string identity = identityOf(profile);
    const auto region = m_context.homeRegions.find(profile.caller);
    const auto regional = region == m_context.homeRegions.end()
        ? m_dataCentres.end()
        : m_dataCentres.find(region->second);
    const auto &dataCentres = regional == m_dataCentres.end() ? m_allDataCentres : regional->second;
    // partitionOf hashes the identity alone; the prefix makes the choice of data centre independent
    // of the choice of partition.
    const std::uint64_t hash = stableHash("data centre of " + identity);
    return partitionOf(identity, dataCentres[hash % dataCentres.size()],
                       m_context.settings.partitionsPerDataCentre);
}

std::optional<DaemonIdentity> HomeLocator::home(const PartitionId &partition) const
{
    const auto found = m_owners.find(partition);
    return found == m_owners.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cowsliprock::requests
