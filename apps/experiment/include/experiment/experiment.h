#pragma once

#include <experiment/cell.h>
#include <experiment/plan.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cowsliprock::experiment {

/// Result of an experiment.
struct Outcome
{
    std::vector<std::string> violations; ///< One line for each violated guarantee.
    std::uint64_t acceptedJobs = 0;      ///< Jobs that the cell accepted.
    std::uint64_t taskStarts = 0;        ///< Task starts on workers, retries included.
    std::string report; ///< JSON: plan, violations, counts by job kind and by second, costs.
};

/// Runs a plan against daemon processes. Blocks in real time until the run is complete.
[[nodiscard]] Result<Outcome> runExperiment(const Plan &plan, const Cell::Paths &paths);

} // namespace cowsliprock::experiment
