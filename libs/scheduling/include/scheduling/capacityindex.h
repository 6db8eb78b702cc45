#pragma once

#include <scheduling/placement.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace cowsliprock {

/// Workers that may get new tasks, grouped by free capacity, so that the number of candidates
/// examined for a placement does not grow with the number of workers.
///
/// A group holds the workers with the same number of free accelerators (8 and more share one).
/// Within a group, the level of a worker is the number of whole units that are free, one unit being
/// a processor with 4 GB. A task fits surely on a level that is at least its own upper level, and
/// cannot fit below its lower level.
class CapacityIndex
{
public:
    enum class Order { TightestFirst, FreestFirst };

    /// Candidates examined for one placement, of each of the two level ranges.
    static constexpr std::size_t sampleSize = 8;

    void update(const Candidate &candidate);
    void remove(const WorkerName &worker);
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] const Candidate *find(const WorkerName &worker) const;

    /// A bounded sample, random within a level.
    [[nodiscard]] std::vector<const Candidate *> sample(const Resources &amount, Order order,
                                                        std::mt19937_64 &random) const;

    /// A bounded sample of all workers whatever they have free.
    [[nodiscard]] std::vector<const Candidate *> randomSample(std::size_t count,
                                                              std::mt19937_64 &random) const;

    /// All candidates by name, until \p visit returns false.
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
        std::size_t position = 0;      ///< In its level.
        std::size_t orderPosition = 0; ///< In m_all.
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
