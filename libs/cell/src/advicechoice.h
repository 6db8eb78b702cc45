#pragma once

#include "placement.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Share of the workers that the policy of a queue allows, as seen in its answers.
class AllowedShares
{
public:
    void note(const std::string &queue, std::size_t asked, std::size_t allowed);
    [[nodiscard]] double of(const std::string &queue) const;

private:
    struct Counts
    {
        double asked = 0;
        double allowed = 0;
    };
    std::map<std::string, Counts> m_counts;
};

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
    bool first = true;         ///< Nothing is known of the step yet.
    std::uint32_t tasks = 0;   ///< That wait.
    double allowedShare = 0.5; ///< Expected share of unknown workers that are allowed.
};

/// Chooses whom to ask the policy service about. Load it answers: slow questions of wide gangs on
/// a nearly full cell. The service is then the scarcest resource, so a question names just the
/// workers that can be expected to give room enough, and none is asked while there is no room.
/// The result is empty if nothing should be asked now.
[[nodiscard]] std::vector<std::string> chooseToAskAbout(const AdviceNeed &need,
                                                        const StepDemand &demand,
                                                        const AdviceCandidates &candidates);

} // namespace cowsliprock::cell
