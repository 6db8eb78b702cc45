#pragma once

#include <base/time.h>

namespace cowsliprock {

/// Estimates the response time of one kind of peer as a smoothed mean and deviation (RFC 6298). All
/// calls share this daemon's network link, so a saturated link affects every response.
class ResponseTimes
{
public:
    /// Records the time that a response took, including a late one.
    void observe(Duration time) noexcept;

    /// Time after which a response is overdue.
    [[nodiscard]] Duration timeout() const noexcept;

    /// Time after which an idempotent call should be repeated; shorter while responses are fast.
    [[nodiscard]] Duration repeatAfter() const noexcept;

    [[nodiscard]] Duration mean() const noexcept { return m_mean; }

private:
    Duration m_mean{};
    Duration m_deviation{};
    bool m_observed = false;
};

} // namespace cowsliprock
