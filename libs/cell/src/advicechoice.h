#pragma once

#include "placement.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Workers of a step's service and kind, by what is known of their permission.
struct AdviceCandidates
{
    std::vector<Worker *> unknown; ///< Nobody has asked about their present life.
    std::vector<Worker *> allowed; ///< Not kept for more urgent work; tickets may be old.
    std::vector<Worker *> stale;   ///< Allowed, with room, and with an old ticket.
};

/// What a step asks the policy service for.
struct AdviceNeed
{
    bool gang = false;
    std::uint32_t tasks = 0; ///< That wait.
};

/// How many workers one question of the step names at most.
[[nodiscard]] std::size_t mostToAskAbout(const AdviceNeed &need);

/// Chooses whom to ask the policy service about. Load it answers: slow questions of wide gangs on
/// a nearly full cell, where the service is the scarcest resource. A question names several times
/// the workers that are needed, since the decision itself takes the most time; tickets are renewed
/// only where there is room, and workers that are kept for gangs are left to them.
/// The result is empty if nothing should be asked now.
[[nodiscard]] std::vector<std::string> chooseToAskAbout(const AdviceNeed &need,
                                                        const StepDemand &demand,
                                                        const AdviceCandidates &candidates);

} // namespace cowsliprock::cell
