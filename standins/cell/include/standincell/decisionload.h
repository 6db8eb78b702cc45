#pragma once

#include <cell/policy.h>

#include <base/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cowsliprock::standincell {

/// Outcomes of the jobs of one kind, as callers see them.
struct JobKindOutcome
{
    std::uint32_t submitted = 0;
    std::uint32_t inTime = 0; ///< Completed within the objective.
    std::uint32_t late = 0;   ///< Completed after the objective.
    std::uint32_t refusedImmediately = 0;
    std::uint32_t refusedLate = 0; ///< Refused one second or more after submission.
    std::uint32_t notCompleted = 0;

    [[nodiscard]] double inTimeShare() const noexcept
    {
        return submitted == 0 ? 0 : static_cast<double>(inTime) / submitted;
    }
};

/// Simulates a heavy load on the scheduling logic alone, in virtual time: urgent checks, gangs and
/// batch jobs on a cell near capacity, with one burst of gangs and one of urgent checks.
[[nodiscard]] std::map<std::string, JobKindOutcome>
simulateHeavyLoad(const cell::PlacementPolicy &policy, std::uint32_t seed);

/// Cell size for simulateBurstOnLargeCell(); the load is proportional to the number of workers.
struct BurstLoad
{
    std::uint32_t nodes = 0;
    std::uint32_t workers = 0;
    Duration eventCost{}; ///< CPU time per event handled by a daemon.
    std::chrono::nanoseconds
        inspectionCost{}; ///< CPU time per worker or step that the scheduler inspects.
    std::uint32_t seed = 1;
};

/// Simulates a burst of urgent jobs on a cell with many workers while gangs and batch jobs use most
/// of its capacity. The policy service allows a subset of the workers for each step.
[[nodiscard]] std::map<std::string, JobKindOutcome>
simulateBurstOnLargeCell(const BurstLoad &burst);

/// Cell size and worker speeds for simulateSwingingLoad().
struct SwingingLoad
{
    std::uint32_t workers = 0;
    std::vector<double> speeds; ///< Of the workers in turn; if empty, all are 1.
    double longTaskShare = 0;   ///< Of the tasks of urgent and of batch jobs.
    std::uint32_t seed = 1;
};

/// Simulates a load that swings beyond the capacity of the cell, with tasks of uneven sizes, of
/// which a few take several times as long as the others.
[[nodiscard]] std::map<std::string, JobKindOutcome>
simulateSwingingLoad(const SwingingLoad &swinging);

} // namespace cowsliprock::standincell
