#pragma once

#include <experiment/cell.h>
#include <experiment/plan.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cowsliprock::experiment {

struct Outcome
{
    std::vector<std::string> broken; ///< One line for each violated guarantee.
    std::uint64_t jobs = 0;          ///< Accepted ones.
    std::uint64_t starts = 0;        ///< Of tasks.
    std::string report;              ///< JSON: plan, counts by kind and second, costs.
};

/// Plays a plan against daemons in processes of their own; takes as long as the plan says.
[[nodiscard]] Result<Outcome> play(const Plan &plan, const Cell::Paths &paths);

} // namespace cowsliprock::experiment
