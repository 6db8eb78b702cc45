#include "comeback.h"

#include <algorithm>

namespace cowsliprock::cell {

namespace {

constexpr std::chrono::seconds shortestWait{ 1 };
/// A caller that waits longer has no use for the answer, as a rule.
constexpr std::chrono::seconds longestWait{ 4 };

} // namespace

std::chrono::seconds comeBackAfter(Duration outage) noexcept
{
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(outage), shortestWait, longestWait);
}

} // namespace cowsliprock::cell
