#pragma once

#include <base/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cowsliprock::cell {

/// Time for a worker to restore a checkpoint.
constexpr std::chrono::milliseconds restoreTime{ 600 };

/// Progress of a run according to the newest inventory of its worker.
struct RunProgress
{
    Duration elapsed{};
    std::uint32_t percent = 0;
    Duration unchanged{}; ///< Time since the percentage last rose, or since the start.
};

/// Reference times for a task of a step.
struct StepPace
{
    Duration estimate{}; ///< Given by the submitter of the job; often inaccurate.
    /// Total times of other tasks of the step on other workers, scaled to a worker of speed 1.
    std::vector<Duration> siblings;
    double speed = 1; ///< Known speed of the worker of the run.
};

/// How a run does compared with its step and with the known speed of its worker.
enum class RunPace {
    Unknown, ///< Too early or too late to tell.
    Sound,
    Slow,   ///< Slower than tasks of one step usually differ.
    Behind, ///< So slow that the task is expected to finish sooner on another worker.
    Stalled ///< Without any progress.
};

/// Number of other runs of a worker whose pace is known.
struct OtherRuns
{
    std::size_t known = 0;
    std::size_t slow = 0;
};

/// What the runs that ended on a worker have shown about its speed.
struct SpeedEvidence
{
    double runs = 0;  ///< Decayed number of runs.
    double speed = 1; ///< Relative to that of an ordinary slow worker.
};

/// Lower bound on the total time of a run at its average pace so far.
[[nodiscard]] Duration projectedTime(const RunProgress &progress) noexcept;

/// Pace of a run. \p checkpointed means that the task saves its progress when it is stopped, so
/// that its work so far is not lost.
[[nodiscard]] RunPace paceOfRun(const RunProgress &progress, const StepPace &pace,
                                bool checkpointed);

/// True if other tasks show the worker of a slow run to be slow. A single slow run may be a long
/// task, which a restart would only delay.
[[nodiscard]] bool isSlowByOthers(const OtherRuns &others, const SpeedEvidence &ended) noexcept;

/// True if the run has stalled, or the task is expected to finish sooner when it is restarted on
/// another worker, provided that its worker is slow. Detects workers that become slow or stall
/// while their health checks still pass.
[[nodiscard]] bool isStraggler(const RunProgress &progress, const StepPace &pace,
                               bool checkpointed);

} // namespace cowsliprock::cell
