#pragma once

#include <base/time.h>
#include <burn/report.h>

#include <array>
#include <vector>

namespace cowsliprock {

/// Counts the events of one service in two ring buffers: one bucket per minute for the shorter
/// windows and one per hour for the longest, which limits the memory per service to about 30 KB.
class WindowCounter
{
public:
    WindowCounter();

    void add(TimePoint now, const std::array<ObjectiveCount, objectiveCount> &counts);

    [[nodiscard]] WindowCounts totals(TimePoint now) const;

private:
    struct Bucket
    {
        std::int64_t slot = -1; ///< Number of the counted minute or hour; -1 if unused.
        std::array<ObjectiveCount, objectiveCount> counts{};
    };

    static void addTo(std::vector<Bucket> &ring, std::int64_t slot,
                      const std::array<ObjectiveCount, objectiveCount> &counts);
    static void addTotals(const std::vector<Bucket> &ring, std::int64_t firstSlot,
                          std::int64_t lastSlot,
                          std::array<ObjectiveCount, objectiveCount> &target);

    std::vector<Bucket> m_minutes;
    std::vector<Bucket> m_hours;
};

} // namespace cowsliprock
