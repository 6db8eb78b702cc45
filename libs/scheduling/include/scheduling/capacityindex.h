#pragma once

#include <scheduling/placement.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace cowsliprock {

/// Index of the schedulable workers by free capacity. The number of candidates examined per
/// placement is bounded and does not grow with the number of workers.
///
/// A group contains the workers with the same number of free accelerators (8 or more share one
/// group). Within a group, a worker's level is its number of free capacity units; a unit is one
/// processor with 4 GB of memory. A task is guaranteed to fit on levels at or above its upper
/// level and never fits below its lower level.
class CapacityIndex
{
public:
    enum class Order { TightestFirst, FreestFirst };

    /// Maximum number of candidates examined per placement in each of the two level ranges.
    static constexpr std::size_t sampleSize = 8;

    void update(const Candidate &candidate);
    void remove(const WorkerName &worker);
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] const Candidate *find(const WorkerName &worker) const;

    /// Returns a bounded sample of workers that may fit \p amount, randomized within a level.
    [[nodiscard]] std::vector<const Candidate *> sample(const Resources &amount, Order order,
                                                        std::mt19937_64 &random) const;

    /// Returns up to \p count workers, regardless of their free capacity.
    [[nodiscard]] std::vector<const Candidate *> randomSample(std::size_t count,
                                                              std::mt19937_64 &random) const;

    /// Visits all candidates in order of their names until \p visit returns false.
    void scan(const std::function<bool(const Candidate &)> &visit) const;

    [[nodiscard]] Resources totalFree() const noexcept { return m_totalFree; }

private:
    static constexpr std::size_t levelCount = 64;
    static constexpr std::size_t groupCount = 9;

    struct Entry
    {
        Candidate candidate;
        std::size_t group = 0;
        std::size_t level = 0;
        std::size_t position = 0;      ///< Index in its level.
        std::size_t orderPosition = 0; ///< Index in m_all.
    };
    struct Group
    {
        std::uint64_t occupied = 0; ///< Bit n is set if level n is not empty.
        std::array<std::vector<Entry *>, levelCount> levels;
    };

    void link(Entry &entry);
    void unlink(Entry &entry);
    void collect(const Group &group, std::uint64_t mask, Order order, std::size_t limit,
                 std::mt19937_64 &random, std::vector<const Candidate *> &result) const;
    void collectRange(const Resources &amount, std::uint64_t mask, Order order,
                      std::mt19937_64 &random, std::vector<const Candidate *> &result) const;

    std::map<WorkerName, Entry> m_entries;
    std::vector<Entry *> m_all;
    std::array<Group, groupCount> m_groups;
    Resources m_totalFree;
};

} // namespace cowsliprock
