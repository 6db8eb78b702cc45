#pragma once

#include <base/error.h>
#include <kernel/model.h>

#include <httplib.h>

namespace cowsliprock {

/// Reads the headers of a caller's request (docs/api.md, section 1).
[[nodiscard]] Result<RequestProfile> readCallerRequest(const httplib::Request &request);

/// Writes a problem document (RFC 9457) for a request without a whole answer.
void writeProblem(httplib::Response &response, const RequestAnswer &answer);

/// Longest deadline of a request; shorter than the drain limit.
inline constexpr std::chrono::milliseconds longestDeadline(25'000);

} // namespace cowsliprock
