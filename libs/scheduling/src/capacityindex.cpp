#include <scheduling/capacityindex.h>

#include <algorithm>
#include <bit>

namespace cowsliprock {

namespace {

constexpr std::int64_t cpuMillisPerUnit = 1000;
constexpr std::int64_t memoryMbPerUnit = 4096;
constexpr std::int64_t highestLevel = 63;

std::size_t levelOf(const Resources &free) noexcept
{
    const auto units = std::min(free.cpuMillis / cpuMillisPerUnit, free.memoryMb / memoryMbPerUnit);
    return static_cast<std::size_t>(std::clamp<std::int64_t>(units, 0, highestLevel));
}

std::size_t groupOf(const Resources &free, std::size_t groupCount) noexcept
{
    return static_cast<std::size_t>(
        std::clamp<std::int64_t>(free.accelerators, 0, static_cast<std::int64_t>(groupCount) - 1));
}

/// Lowest level on which the amount fits every worker. The highest level is unbounded, so on that
/// level larger amounts fit only some workers.
std::size_t upperLevel(const Resources &amount) noexcept
{
    const auto cpu = (amount.cpuMillis + cpuMillisPerUnit - 1) / cpuMillisPerUnit;
    const auto memory = (amount.memoryMb + memoryMbPerUnit - 1) / memoryMbPerUnit;
    return static_cast<std::size_t>(
        std::clamp<std::int64_t>(std::max(cpu, memory), 0, highestLevel));
}

/// Bit mask of the levels at or above \p first.
std::uint64_t levelsFrom(std::size_t first) noexcept
{
    return ~std::uint64_t{ 0 } << first;
}

} // namespace

void CapacityIndex::update(const Candidate &candidate)
{
    auto [iterator, inserted] = m_entries.try_emplace(candidate.worker);
    Entry &entry = iterator->second;
    if (inserted) {
        entry.orderPosition = m_all.size();
        m_all.push_back(&entry);
    } else {
        unlink(entry);
        m_totalFree -= entry.candidate.free;
    }
    entry.candidate = candidate;
    m_totalFree += candidate.free;
    link(entry);
}

void CapacityIndex::remove(const WorkerName &worker)
{
    const auto iterator = m_entries.find(worker);
    if (iterator == m_entries.end())
        return;
    Entry &entry = iterator->second;
    unlink(entry);
    m_totalFree -= entry.candidate.free;
    m_all[entry.orderPosition] = m_all.back();
    m_all[entry.orderPosition]->orderPosition = entry.orderPosition;
    m_all.pop_back();
    m_entries.erase(iterator);
}

const Candidate *CapacityIndex::find(const WorkerName &worker) const
{
    const auto iterator = m_entries.find(worker);
    return iterator == m_entries.end() ? nullptr : &iterator->second.candidate;
}

void CapacityIndex::link(Entry &entry)
{
    entry.group = groupOf(entry.candidate.free, groupCount);
    entry.level = levelOf(entry.candidate.free);
    Group &group = m_groups[entry.group];
    auto &level = group.levels[entry.level];
    entry.position = level.size();
    level.push_back(&entry);
    group.occupied |= std::uint64_t{ 1 } << entry.level;
}

void CapacityIndex::unlink(Entry &entry)
{
    Group &group = m_groups[entry.group];
    auto &level = group.levels[entry.level];
    level[entry.position] = level.back();
    level[entry.position]->position = entry.position;
    level.pop_back();
    if (level.empty())
        group.occupied &= ~(std::uint64_t{ 1 } << entry.level);
}

void CapacityIndex::collect(const Group &group, std::uint64_t mask, Order order, std::size_t limit,
                            std::mt19937_64 &random, std::vector<const Candidate *> &result) const
{
    for (std::uint64_t left = group.occupied & mask; left != 0 && result.size() < limit;) {
        const auto number = static_cast<std::size_t>(
            order == Order::TightestFirst ? std::countr_zero(left) : 63 - std::countl_zero(left));
        left &= ~(std::uint64_t{ 1 } << number);
        const auto &level = group.levels[number];
        // A random start offset selects all workers of the level with equal probability.
        const std::size_t start = random() % level.size();
        for (std::size_t i = 0; i < level.size() && result.size() < limit; ++i)
            result.push_back(&level[(start + i) % level.size()]->candidate);
    }
}

void CapacityIndex::collectRange(const Resources &amount, std::uint64_t mask, Order order,
                                 std::mt19937_64 &random,
                                 std::vector<const Candidate *> &result) const
{
    // Groups with the fewest free accelerators come first in either order. This keeps workers with
    // accelerators available for the tasks that require them.
    const std::size_t limit = result.size() + sampleSize;
    for (std::size_t group = groupOf(amount, groupCount); group < groupCount; ++group)
        collect(m_groups[group], mask, order, limit, random, result);
}

std::vector<const Candidate *> CapacityIndex::sample(const Resources &amount, Order order,
                                                     std::mt19937_64 &random) const
{
    const auto cpu = amount.cpuMillis / cpuMillisPerUnit;
    const auto memory = amount.memoryMb / memoryMbPerUnit;
    const auto lower =
        static_cast<std::size_t>(std::clamp<std::int64_t>(std::min(cpu, memory), 0, highestLevel));
    const std::uint64_t guaranteed = levelsFrom(upperLevel(amount));
    const std::uint64_t possible = levelsFrom(lower) & ~guaranteed;
    std::vector<const Candidate *> result;
    result.reserve(2 * sampleSize);
    collectRange(amount, guaranteed, order, random, result);
    collectRange(amount, possible, order, random, result);
    return result;
}

std::vector<const Candidate *> CapacityIndex::randomSample(std::size_t count,
                                                           std::mt19937_64 &random) const
{
    std::vector<const Candidate *> result;
    if (m_all.empty())
        return result;
    const std::size_t start = random() % m_all.size();
    for (std::size_t i = 0; i < std::min(count, m_all.size()); ++i)
        result.push_back(&m_all[(start + i) % m_all.size()]->candidate);
    return result;
}

void CapacityIndex::scan(const std::function<bool(const Candidate &)> &visit) const
{
    for (const auto &[name, entry] : m_entries) {
        if (!visit(entry.candidate))
            return;
    }
}

} // namespace cowsliprock
