#pragma once

#include <base/time.h>
#include <burn/report.h>

#include <array>
#include <vector>

namespace cowsliprock {

/// Counts of one service in a ring of buckets: one a minute for the short windows and one an hour
/// for the longest, so that a service needs about 30 KB.
class WindowCounter
{
public:
    WindowCounter();

    void add(TimePoint now, const std::array<ObjectiveCount, objectiveCount> &counts);

    [[nodiscard]] WindowCounts totals(TimePoint now) const;

private:
    struct Bucket
    {
        std::int64_t slot = -1; ///< Number of the minute or hour that the bucket holds.
        std::array<ObjectiveCount, objectiveCount> counts{};
    };

    static void addTo(std::vector<Bucket> &ring, std::int64_t slot,
                      const std::array<ObjectiveCount, objectiveCount> &counts);
    static void sum(const std::vector<Bucket> &ring, std::int64_t firstSlot, std::int64_t lastSlot,
                    std::array<ObjectiveCount, objectiveCount> &target);

    std::vector<Bucket> m_minutes;
    std::vector<Bucket> m_hours;
};

} // namespace cowsliprock
