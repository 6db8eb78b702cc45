#include "retryafter.h"

#include <algorithm>

namespace cowsliprock::cell {

namespace {

constexpr std::chrono::seconds minRetryDelay{ 1 };
/// Callers usually have no use for an answer after a longer wait.
constexpr std::chrono::seconds maxRetryDelay{ 4 };

} // namespace

std::chrono::seconds retryAfter(Duration outage) noexcept
{
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(outage), minRetryDelay,
                      maxRetryDelay);
}

} // namespace cowsliprock::cell
