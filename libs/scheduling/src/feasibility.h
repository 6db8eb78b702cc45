#pragma once

#include "context.h"
#include "workerledger.h"

#include <string>
#include <vector>

namespace cowsliprock::scheduling {

/// Reasons for which a job can never run; empty if none is known. Nothing is concluded from worker
/// types while none is known, or shortly after the start of the daemon.
[[nodiscard]] std::vector<std::string>
reasonsAgainst(const JobDefinition &definition, const Context &context, const WorkerLedger &ledger);

} // namespace cowsliprock::scheduling
