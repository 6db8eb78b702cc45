#pragma once

#include "job.h"
#include "workerledger.h"

#include <base/error.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock::scheduling {

/// Parses a submitted job. A body with only a name refers to the job of that name in the
/// configuration. Enumerations are given by name or number; durations are in microseconds, or in
/// milliseconds in members whose names end in "Ms". Omitted members have the defaults of
/// JobDefinition.
[[nodiscard]] Result<JobDefinition> readDefinition(std::string_view body,
                                                   const Configuration &configuration);

/// Parses the member "id" of a body.
[[nodiscard]] Result<JobId> readId(std::string_view body);

[[nodiscard]] const char *stateOf(const Job &job) noexcept;
[[nodiscard]] std::string statusJson(const Job &job, TimePoint now);
[[nodiscard]] std::string jobsJson(const std::map<JobId, Job> &jobs, TimePoint now);
[[nodiscard]] std::string workersJson(const WorkerLedger &ledger, const Context &context);
[[nodiscard]] std::string stateJson(const JobId &id, const char *state);
[[nodiscard]] std::string errorJson(const std::string &error,
                                    const std::vector<std::string> &reasons);
[[nodiscard]] std::string retryJson(const std::string &error, Duration retryAfter);

} // namespace cowsliprock::scheduling
