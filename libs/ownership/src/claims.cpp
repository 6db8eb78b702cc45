#include "partitions.h"

#include <algorithm>

namespace cowsliprock::ownership {

namespace {

// At first start all daemons of a region hear each other's heartbeats within this time. Without it
// the first one would claim everything and release it again.
constexpr Duration startDelay = std::chrono::seconds(3);
// A daemon that is alive but does not reach the store leaves its share unclaimed.
constexpr Duration unclaimedTimeLimit = std::chrono::seconds(6);

} // namespace

bool Partitions::isFree(const PartitionEntry *entry) const
{
    return entry == nullptr || entry->released || m_observer.endedSince(entry->owner).has_value();
}

void Partitions::noteFree(TimePoint now)
{
    for (const auto &[dataCentre, cell] : m_cells) {
        for (std::uint32_t index = 0; index < m_shared.settings.partitionsPerDataCentre; ++index) {
            auto &freeSince = m_seen[partitionId(dataCentre, index)].freeSince;
            if (!isFree(entryOf(cell, index)))
                freeSince.reset();
            else if (!freeSince)
                freeSince = now;
        }
    }
}

std::set<PartitionId> Partitions::choose(TimePoint now) const
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
    const std::size_t first = share.firstOf(self) % order.size();
    std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first), order.end());
    std::size_t count = countOf(self);
    for (const auto &partition : order) {
        const auto &freeSince = m_seen.at(partition).freeSince;
        if (!freeSince)
            continue;
        if (count >= share.of(self) && now - *freeSince < unclaimedTimeLimit)
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
    // An entry may have been written late, by an owner that had ended before. The validity of its
    // predecessor was over when the entry was written.
    const auto ended = conditions.validityEnd(entry->owner);
    const TimePoint validityEnd = ended ? *ended : m_observer.endedSince(entry->owner).value();
    return std::max(now,
                    std::max(validityEnd, m_seen.at(partition).at) + m_shared.settings.quarantine);
}

void Partitions::claim(OwnershipRecord &record, const Cell &cell, std::uint32_t index,
                       const Conditions &conditions, TimePoint now)
{
    const PartitionId partition = partitionId(cell.dataCentre, index);
    const PartitionEntry *present = entryOf(cell, index);
    PartitionEntry entry;
    entry.owner = m_shared.self;
    entry.epoch = present == nullptr ? 1 : present->epoch + 1;
    if (present != nullptr) {
        entry.earlier = present->earlier;
        std::erase_if(entry.earlier, [present](const EarlierOwner &earlier) {
            return earlier.identity == present->owner;
        });
        entry.earlier.push_back({ present->owner, Duration{ 0 } });
    }
    auto &memory = m_claims[partition];
    const TimePoint usable = usableFrom(partition, present, conditions, now);
    memory.usableFrom = memory.epoch == entry.epoch ? std::max(memory.usableFrom, usable) : usable;
    memory.epoch = entry.epoch;
    record.partitions[index] = std::move(entry);
}

} // namespace cowsliprock::ownership
