#include "windowcounter.h"

namespace cowsliprock {

namespace {

constexpr std::size_t minuteBuckets = 361; // The 360-minute window and the current minute.
constexpr std::size_t hourBuckets = 73;    // The 72-hour window and the current hour.

template <typename Unit>
std::int64_t slotAt(TimePoint now)
{
    return std::chrono::floor<Unit>(now.time_since_epoch()).count();
}

} // namespace

WindowCounter::WindowCounter()
    : m_minutes(minuteBuckets)
    , m_hours(hourBuckets)
{ }

void WindowCounter::addTo(std::vector<Bucket> &ring, std::int64_t slot,
                          const std::array<ObjectiveCount, objectiveCount> &counts)
{
    auto &bucket = ring[static_cast<std::size_t>(slot) % ring.size()];
    if (bucket.slot != slot)
        bucket = { slot, {} };
    for (std::size_t objective = 0; objective < objectiveCount; ++objective) {
        bucket.counts[objective].total += counts[objective].total;
        bucket.counts[objective].bad += counts[objective].bad;
    }
}

void WindowCounter::add(TimePoint now, const std::array<ObjectiveCount, objectiveCount> &counts)
{
    addTo(m_minutes, slotAt<std::chrono::minutes>(now), counts);
    addTo(m_hours, slotAt<std::chrono::hours>(now), counts);
}

void WindowCounter::addTotals(const std::vector<Bucket> &ring, std::int64_t firstSlot,
                              std::int64_t lastSlot,
                              std::array<ObjectiveCount, objectiveCount> &target)
{
    for (const auto &bucket : ring) {
        if (bucket.slot < firstSlot || bucket.slot > lastSlot)
            continue;
        for (std::size_t objective = 0; objective < objectiveCount; ++objective) {
            target[objective].total += bucket.counts[objective].total;
            target[objective].bad += bucket.counts[objective].bad;
        }
    }
}

WindowCounts WindowCounter::totals(TimePoint now) const
{
    WindowCounts result{};
    const std::int64_t minute = slotAt<std::chrono::minutes>(now);
    const std::int64_t hour = slotAt<std::chrono::hours>(now);
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        const auto length = burnWindows[window].count();
        if (length < static_cast<std::int64_t>(minuteBuckets))
            addTotals(m_minutes, minute - length, minute, result[window]);
        else
            addTotals(m_hours, hour - length / 60, hour, result[window]);
    }
    return result;
}

} // namespace cowsliprock
