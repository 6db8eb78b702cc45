#include "partitions.h"

#include <algorithm>

namespace cowsliprock::ownership {

namespace {

// When all daemons of a region start, they receive each other's heartbeats within this time.
// Without the delay the first daemon would claim all partitions and release most of them again.
constexpr Duration startDelay = std::chrono::seconds(3);
// After this time a daemon claims partitions beyond its fair share: a daemon that is alive but
// cannot reach the store leaves its share unclaimed.
constexpr Duration unclaimedTimeout = std::chrono::seconds(6);

} // namespace

bool Partitions::isFree(const PartitionEntry *entry) const
{
    return entry == nullptr || entry->released || m_observer.endedSince(entry->owner).has_value();
}

void Partitions::updateFreeSince(TimePoint now)
{
    for (const auto &[dataCentre, cell] : m_cells) {
        for (std::uint32_t index = 0; index < m_shared.settings.partitionsPerDataCentre; ++index) {
            auto &freeSince = m_observedEpochs[partitionId(dataCentre, index)].freeSince;
            if (!isFree(findEntry(cell, index)))
                freeSince.reset();
            else if (!freeSince)
                freeSince = now;
        }
    }
}

std::set<PartitionId> Partitions::chooseClaims(TimePoint now) const
{
    std::set<PartitionId> chosen;
    if (now - m_startedAt < startDelay)
        return chosen;
    std::vector<PartitionId> order;
    for (const auto &[dataCentre, cell] : m_cells) {
        for (std::uint32_t index = 0; index < m_shared.settings.partitionsPerDataCentre; ++index)
            order.push_back(partitionId(dataCentre, index));
    }
    const FairShare share = fairShare();
    const DaemonName &self = m_shared.self.name;
    const std::size_t first = share.firstPartitionFor(self) % order.size();
    std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first), order.end());
    std::size_t count = ownedCount(self);
    for (const auto &partition : order) {
        const auto &freeSince = m_observedEpochs.at(partition).freeSince;
        if (!freeSince)
            continue;
        if (count >= share.partitionsFor(self) && now - *freeSince < unclaimedTimeout)
            continue;
        chosen.insert(partition);
        ++count;
    }
    return chosen;
}

TimePoint Partitions::usableFrom(const PartitionId &partition, const PartitionEntry *entry,
                                 const Conditions &conditions, TimePoint now) const
{
    if (entry == nullptr || entry->released)
        return now;
    // The entry may have been written late by an owner whose record had already ended. The validity
    // of the owner before it had ended when the entry was written.
    const auto ended = conditions.validityEnd(entry->owner);
    const TimePoint validityEnd = ended ? *ended : m_observer.endedSince(entry->owner).value();
    return std::max(now,
                    std::max(validityEnd, m_observedEpochs.at(partition).at)
                        + m_shared.settings.quarantine);
}

void Partitions::claim(OwnershipRecord &record, const Cell &cell, std::uint32_t index,
                       const Conditions &conditions, TimePoint now)
{
    const PartitionId partition = partitionId(cell.dataCentre, index);
    const PartitionEntry *current = findEntry(cell, index);
    PartitionEntry entry;
    entry.owner = m_shared.self;
    entry.epoch = current == nullptr ? 1 : current->epoch + 1;
    if (current != nullptr) {
        entry.previousOwners = current->previousOwners;
        std::erase_if(entry.previousOwners, [current](const PreviousOwner &previous) {
            return previous.identity == current->owner;
        });
        entry.previousOwners.push_back({ current->owner, Duration{ 0 } });
    }
    auto &claimState = m_claims[partition];
    const TimePoint usable = usableFrom(partition, current, conditions, now);
    claimState.usableFrom =
        claimState.epoch == entry.epoch ? std::max(claimState.usableFrom, usable) : usable;
    claimState.epoch = entry.epoch;
    record.partitions[index] = std::move(entry);
}

} // namespace cowsliprock::ownership
