#pragma once

#include <base/time.h>

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
    Duration estimate{};            ///< Given by the submitter of the job; often inaccurate.
    std::vector<Duration> siblings; ///< Total times of other tasks of the step on other workers.
};

/// Lower bound on the total time of a run at its average pace so far.
[[nodiscard]] Duration projectedTime(const RunProgress &progress) noexcept;

/// True if the run has stalled, or the task is expected to finish sooner when it is restarted on
/// another worker. Detects workers that become slow or stall while their health checks still pass.
/// \p checkpointed means that the task saves its progress when it is stopped, so that its work so
/// far is not lost.
[[nodiscard]] bool isStraggler(const RunProgress &progress, const StepPace &pace,
                               bool checkpointed);

} // namespace cowsliprock::cell
