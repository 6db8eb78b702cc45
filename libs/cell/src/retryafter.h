#pragma once

#include <base/time.h>

#include <chrono>

namespace cowsliprock::cell {

/// Retry delay for a caller that was refused because the store is unavailable. Callers retry only a
/// few times, and a long outage is likely to last longer. The delay therefore equals the duration
/// of the outage so far, within bounds, so that the retries of a caller extend beyond its end.
[[nodiscard]] std::chrono::seconds retryAfter(Duration outage) noexcept;

} // namespace cowsliprock::cell
