#pragma once

#include <cell/policy.h>

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

} // namespace cowsliprock::standincell
