#pragma once

#include <base/time.h>

namespace cowsliprock {

/// How soon peers of one kind answer, as smoothed mean and deviation (RFC 6298). All calls share
/// this daemon's link, so that a full link shows in every answer.
class AnswerTimes
{
public:
    /// Notes the time that an answer took, also a late one.
    void observe(Duration time) noexcept;

    /// Time after which an answer is overdue.
    [[nodiscard]] Duration timeout() const noexcept;

    /// Time after which a call that does no harm twice is worth repeating: shorter while answers
    /// come fast.
    [[nodiscard]] Duration repeatAfter() const noexcept;

    [[nodiscard]] Duration mean() const noexcept { return m_mean; }

private:
    Duration m_mean{};
    Duration m_deviation{};
    bool m_observed = false;
};

} // namespace cowsliprock
