#include "stragglers.h"

#include <algorithm>

namespace cowsliprock::cell {

namespace {

/// A run is not judged before.
constexpr std::chrono::milliseconds shortestObservation{ 350 };
/// A run without progress stands still after this time, or after this part of its expected time,
/// since the percentage of a long task rises slowly.
constexpr std::chrono::milliseconds shortestStandstill{ 600 };
constexpr int standstillPart = 3;
/// Siblings that have to be known to be compared with.
constexpr std::size_t fewestSiblings = 2;
/// Tasks of one step differ by less than this factor, as a rule ...
constexpr double unevenness = 3.5;
/// ... and a task from its estimate by less than this one.
constexpr double estimateError = 4.5;
/// Time to stop a run and to start it elsewhere.
constexpr std::chrono::milliseconds moveTime{ 500 };
constexpr int hundredPercent = 100;
/// One worker in this many may be out for being slow.
constexpr std::size_t takeOutShare = 3;

Duration median(std::vector<Duration> times)
{
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

/// Whole time of the task on a sound worker, and how far off that may be.
struct Reference
{
    Duration time{};
    double error = estimateError;
};

Reference referenceOf(const StepPace &pace)
{
    if (pace.siblings.size() >= fewestSiblings)
        return { median(pace.siblings), unevenness };
    return { pace.estimate, estimateError };
}

} // namespace

Duration projectedTime(const RunProgress &progress) noexcept
{
    // The percentage is cut down to a whole number.
    return progress.elapsed * hundredPercent / (static_cast<std::int64_t>(progress.percent) + 1);
}

bool isStraggler(const RunProgress &progress, const StepPace &pace, bool saved)
{
    const auto reference = referenceOf(pace);
    const auto percent = static_cast<int>(progress.percent);
    const bool judged = reference.time > Duration::zero() && progress.elapsed >= shortestObservation
        && percent < hundredPercent;
    if (!judged)
        return false;
    if (progress.unchanged
        >= std::max<Duration>(shortestStandstill, reference.time / standstillPart))
        return true;
    const auto projected = projectedTime(progress);
    if (std::chrono::duration<double>(projected)
        < reference.error * std::chrono::duration<double>(reference.time))
        return false;
    const auto left = reference.time * (hundredPercent - percent) / hundredPercent;
    const Duration again = moveTime + (saved ? left + restoreTime : reference.time);
    return projected - progress.elapsed > again;
}

bool mayTakeOut(std::size_t slowWorkers, std::size_t usableWorkers) noexcept
{
    return (slowWorkers + 1) * takeOutShare <= usableWorkers;
}

} // namespace cowsliprock::cell
