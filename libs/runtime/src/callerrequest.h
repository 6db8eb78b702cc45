#pragma once

#include <base/error.h>
#include <kernel/model.h>

#include <httplib.h>

namespace cowsliprock {

/// Parses and validates a caller's request (docs/api.md, section 1).
[[nodiscard]] Result<RequestProfile> readCallerRequest(const httplib::Request &request);

/// Writes a problem document (RFC 9457) for a request without a complete answer.
void writeProblem(httplib::Response &response, const RequestAnswer &answer);

/// Maximum deadline of a request. Must be shorter than the drain limit.
inline constexpr std::chrono::milliseconds maxDeadline(25'000);

} // namespace cowsliprock
