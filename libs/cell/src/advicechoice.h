#pragma once

#include "placement.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Workers that are compatible with a step, grouped by the state of their permission.
struct AdviceCandidates
{
    std::vector<Worker *> unknown; ///< No decision for their current incarnation.
    std::vector<Worker *> allowed; ///< Not reserved for more urgent work; tickets may have expired.
    std::vector<Worker *> stale;   ///< Allowed, with room, but with an expired ticket.
};

/// Number and kind of tasks for which a step requests advice.
struct AdviceDemand
{
    bool gang = false;
    std::uint32_t tasks = 0; ///< Waiting tasks.
};

/// Maximum number of workers named in one advice request of the step.
[[nodiscard]] std::size_t maxWorkersToQuery(const AdviceDemand &need);

/// Speed of the workers to ask about first. A gang asks about those with the most room, since it
/// needs workers of one speed with room for all members, whichever that is.
[[nodiscard]] SpeedPreference speedToQuery(const AdviceDemand &need, const StepDemand &demand);

/// Chooses the workers to name in an advice request; empty if none should be sent now. Designed for
/// wide gangs with slow decisions on a nearly full cell, where the policy service is the
/// bottleneck. A request names several times the number of workers needed, since the fixed time of
/// a decision dominates; tickets are renewed only on workers with room, and workers reserved for
/// gangs come last.
[[nodiscard]] std::vector<std::string> chooseWorkersToQuery(const AdviceDemand &need,
                                                            const StepDemand &demand,
                                                            const AdviceCandidates &candidates);

} // namespace cowsliprock::cell
