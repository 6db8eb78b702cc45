#pragma once

#include <base/time.h>

#include <chrono>

namespace cowsliprock::cell {

/// When a caller that was refused for want of the store should try again. Callers try a few times
/// only, and an outage that has lasted long is likely to last longer: the wait is as long as the
/// outage has been, so that the tries of a caller reach beyond its end.
[[nodiscard]] std::chrono::seconds comeBackAfter(Duration outage) noexcept;

} // namespace cowsliprock::cell
