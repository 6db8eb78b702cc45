#pragma once

#include <base/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cowsliprock::cell {

/// A worker loads saved progress in this time.
constexpr std::chrono::milliseconds restoreTime{ 600 };

/// How far a run has come, by the newest inventory of its worker.
struct RunProgress
{
    Duration elapsed{};
    std::uint32_t percent = 0;
    Duration unchanged{}; ///< Since the percentage last rose, or since the start.
};

/// What a task of a step may take.
struct StepPace
{
    Duration estimate{};            ///< By who handed the job in; often far off.
    std::vector<Duration> siblings; ///< Whole times of other tasks of the step on other workers.
};

/// The least whole time of a run, if it goes on as it has begun.
[[nodiscard]] Duration projectedTime(const RunProgress &progress) noexcept;

/// Decides which runs have fallen behind so far that the caller is served sooner if the task is
/// begun anew on another worker. Load it answers: workers that turn slow or stand still while their
/// health answers are good.
/// \p saved: the work so far is not lost, since the task saves its progress when it is stopped.
[[nodiscard]] bool isStraggler(const RunProgress &progress, const StepPace &pace, bool saved);

/// True if one more worker may be taken out for being slow: if many seem slow, it is not them.
[[nodiscard]] bool mayTakeOut(std::size_t slowWorkers, std::size_t usableWorkers) noexcept;

} // namespace cowsliprock::cell
