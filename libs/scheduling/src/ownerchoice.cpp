#include "ownerchoice.h"

#include <algorithm>
#include <limits>

namespace cowsliprock::scheduling {

namespace {

/// Returns an estimate of how many times \p amount fits into \p whole.
std::int64_t fittingCount(const Resources &amount, const Resources &whole) noexcept
{
    const auto times = [](std::int64_t part, std::int64_t total) {
        return part <= 0 ? std::numeric_limits<std::int64_t>::max()
                         : std::max<std::int64_t>(total, 0) / part;
    };
    return std::min({ times(amount.cpuMillis, whole.cpuMillis),
                      times(amount.memoryMb, whole.memoryMb),
                      times(amount.accelerators, whole.accelerators) });
}

constexpr double otherRegionPenalty = 1e9;

} // namespace

bool OwnerChoice::regionAllowed(const JobDefinition &definition, const std::string &region) const
{
    return definition.regions.empty()
        || std::find(definition.regions.begin(), definition.regions.end(), region)
        != definition.regions.end();
}

std::vector<OwnerChoice::Entry> OwnerChoice::allowed(const JobDefinition &definition,
                                                     bool ignoreLoad)
{
    std::vector<Entry> result;
    const std::string &ownRegion = m_context.settings.location.region;
    const double weight =
        m_context.policy(definition.policy).value_or(PolicyDefinition{}).crossRegionWeight;
    for (const auto &[name, status] : m_context.peers) {
        const std::string &region = status.location.region;
        if (!status.alive || status.draining || !regionAllowed(definition, region)
            || (!ignoreLoad && !definition.perTask.fitsIn(status.load.largestFree)))
            continue;
        const auto room = static_cast<double>(std::min<std::int64_t>(
            fittingCount(definition.perTask, status.load.freeResources), 10'000));
        // Load summaries are seconds old. The jitter prevents all homes from choosing the same
        // peer.
        const double jitter = 0.75 + 0.5 * static_cast<double>(m_context.random() % 1024) / 1024;
        const double penalty = region == ownRegion ? 0.0 : otherRegionPenalty * weight;
        result.push_back({ room * jitter - penalty, name });
    }
    std::stable_sort(result.begin(), result.end(), [](const Entry &left, const Entry &right) {
        return left.score > right.score;
    });
    return result;
}

std::vector<DaemonName> OwnerChoice::ownersForTask(const JobDefinition &definition, bool ignoreLoad)
{
    std::vector<DaemonName> result;
    if (!m_context.draining && regionAllowed(definition, m_context.settings.location.region))
        result.push_back(m_context.settings.self.name);
    for (const auto &entry : allowed(definition, ignoreLoad)) {
        if (result.size() == maximumOwners)
            break;
        result.push_back(entry.name);
    }
    return result;
}

std::vector<DaemonName> OwnerChoice::ownersForGang(const JobDefinition &definition)
{
    std::map<DaemonName, PartitionId> lowest;
    for (const auto &[partition, owner] : m_context.owners)
        lowest.try_emplace(owner.name, partition);
    if (!m_context.owned.empty())
        lowest[m_context.settings.self.name] = m_context.owned.begin()->first;
    std::vector<std::pair<PartitionId, DaemonName>> order;
    const auto insert = [&](const DaemonName &name) {
        if (const auto iterator = lowest.find(name); iterator != lowest.end())
            order.emplace_back(iterator->second, name);
    };
    if (!m_context.draining && regionAllowed(definition, m_context.settings.location.region)
        && taskCapacityOf(m_context.settings.self.name, definition.perTask) > 0)
        insert(m_context.settings.self.name);
    for (const auto &entry : allowed(definition, false))
        insert(entry.name);
    std::sort(order.begin(), order.end());
    std::vector<DaemonName> result;
    result.reserve(order.size());
    for (auto &[partition, name] : order)
        result.push_back(std::move(name));
    return result;
}

std::int64_t OwnerChoice::taskCapacityOf(const DaemonName &owner, const Resources &perTask) const
{
    if (owner == m_context.settings.self.name)
        return fittingCount(perTask, m_ledger.index().totalFree());
    const auto iterator = m_context.peers.find(owner);
    return iterator == m_context.peers.end()
        ? 0
        : fittingCount(perTask, iterator->second.load.freeResources);
}

} // namespace cowsliprock::scheduling
