#pragma once

#include "context.h"
#include "workerledger.h"

#include <string>
#include <vector>

namespace cowsliprock::scheduling {

/// Returns the reasons why a job can never run; empty if none is known. Worker types are not
/// checked while none are known or shortly after the daemon has started.
[[nodiscard]] std::vector<std::string> infeasibilityReasons(const JobDefinition &definition,
                                                            const Context &context,
                                                            const WorkerLedger &ledger);

} // namespace cowsliprock::scheduling
