#include "stragglers.h"

#include <algorithm>

namespace cowsliprock::cell {

namespace {

/// Minimum age of a run before it is assessed.
constexpr std::chrono::milliseconds minObservationTime{ 350 };
/// A run without progress is stalled after this time or after this fraction of its expected time,
/// whichever is longer, since the percentage of a long task rises slowly.
constexpr std::chrono::milliseconds minStallTime{ 600 };
constexpr int stallDivisor = 3;
/// Minimum number of siblings for a comparison.
constexpr std::size_t minSiblings = 2;
/// Tasks of one step usually differ by less than this factor.
constexpr double siblingSpreadFactor = 3.5;
/// The time of a task usually differs from its estimate by less than this factor.
constexpr double estimateErrorFactor = 4.5;
/// Time to stop a run and to start it on another worker.
constexpr std::chrono::milliseconds restartOverhead{ 500 };
constexpr int hundredPercent = 100;
/// A run counts as slow from this fraction of the factor that makes it a straggler.
constexpr double slowErrorDivisor = 1.75;
/// Fewer runs that ended on a worker are no evidence of its speed.
constexpr double minEndedRuns = 3;
/// A worker is slow if the runs that ended on it show a lower speed than this.
constexpr double slowWorkerSpeed = 0.6;
/// A worker is slow if three of four of its other runs are, and there are at least this many. Long
/// tasks make up a large part of the runs at any time.
constexpr std::size_t minOtherRuns = 2;
constexpr std::size_t slowRunsShare = 3;
constexpr std::size_t slowRunsDivisor = 4;

Duration median(std::vector<Duration> times)
{
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

/// Expected total time of the task on a healthy worker, with its error factor.
struct Reference
{
    Duration time{};
    double error = estimateErrorFactor;
};

Reference referenceOf(const StepPace &pace)
{
    if (pace.siblings.size() >= minSiblings)
        return { median(pace.siblings), siblingSpreadFactor };
    return { pace.estimate, estimateErrorFactor };
}

} // namespace

Duration projectedTime(const RunProgress &progress) noexcept
{
    // The percentage is truncated, so the true progress may be almost one percent higher.
    return progress.elapsed * hundredPercent / (static_cast<std::int64_t>(progress.percent) + 1);
}

RunPace paceOfRun(const RunProgress &progress, const StepPace &pace, bool checkpointed)
{
    const auto reference = referenceOf(pace);
    const auto expected = std::chrono::duration_cast<Duration>(reference.time / pace.speed);
    const auto percent = static_cast<int>(progress.percent);
    const bool assessable = reference.time > Duration::zero()
        && progress.elapsed >= minObservationTime && percent < hundredPercent;
    if (!assessable)
        return RunPace::Unknown;
    if (progress.unchanged >= std::max<Duration>(minStallTime, expected / stallDivisor))
        return RunPace::Stalled;
    const auto projected = projectedTime(progress);
    const double excess =
        std::chrono::duration<double>(projected) / std::chrono::duration<double>(expected);
    if (excess < reference.error / slowErrorDivisor)
        return RunPace::Sound;
    if (excess < reference.error)
        return RunPace::Slow;
    const auto remaining = reference.time * (hundredPercent - percent) / hundredPercent;
    const Duration restartedTime =
        restartOverhead + (checkpointed ? remaining + restoreTime : reference.time);
    return projected - progress.elapsed > restartedTime ? RunPace::Behind : RunPace::Slow;
}

bool isSlowByOthers(const OtherRuns &others, const SpeedEvidence &ended) noexcept
{
    const bool endedKnown = ended.runs >= minEndedRuns;
    if (endedKnown && ended.speed < slowWorkerSpeed)
        return true;
    if (others.known < minOtherRuns)
        return others.slow > 0 && !endedKnown;
    return others.slow * slowRunsDivisor >= others.known * slowRunsShare;
}

bool isStraggler(const RunProgress &progress, const StepPace &pace, bool checkpointed)
{
    const auto result = paceOfRun(progress, pace, checkpointed);
    return result == RunPace::Stalled || result == RunPace::Behind;
}

} // namespace cowsliprock::cell
