#pragma once

#include <cell/policy.h>

#include <base/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace cowsliprock::standincell {

/// What callers got of the jobs of one kind.
struct KindOutcome
{
    std::uint32_t submitted = 0;
    std::uint32_t inTime = 0; ///< Completed within the objective.
    std::uint32_t late = 0;   ///< Completed later.
    std::uint32_t refusedAtOnce = 0;
    std::uint32_t refusedLate = 0; ///< Refused after a second or more.
    std::uint32_t never = 0;       ///< Not completed.

    [[nodiscard]] double inTimeShare() const noexcept
    {
        return submitted == 0 ? 0 : static_cast<double>(inTime) / submitted;
    }
};

/// Plays a heavy load against the decisions alone, in virtual time: urgent checks, gangs and batch
/// work on a cell that is nearly full, with a burst of gangs and one of urgent checks.
[[nodiscard]] std::map<std::string, KindOutcome> playHeavyLoad(const cell::PlacementPolicy &policy,
                                                               std::uint32_t seed);

/// Size of a cell for playBurstOnLargeCell(); the load grows with the workers.
struct BurstLoad
{
    std::uint32_t nodes = 0;
    std::uint32_t workers = 0;
    Duration eventCost{}; ///< Processor time for each event of a daemon ...
    std::chrono::nanoseconds
        lookCost{}; ///< ... and for each worker or step that its scheduler looks at.
    std::uint32_t seed = 1;
};

/// Plays a burst of urgent jobs on a cell with many workers, of which the policy service allows a
/// part for each step, while gangs and batch work fill most of it.
[[nodiscard]] std::map<std::string, KindOutcome> playBurstOnLargeCell(const BurstLoad &burst);

} // namespace cowsliprock::standincell
