#pragma once

#include <base/time.h>

#include <algorithm>

namespace cowsliprock::requests {

/// Exponential moving average of the service time at endpoints.
class ServiceTime
{
public:
    explicit ServiceTime(Duration expected) noexcept
        : m_expected(expected)
        , m_average(expected)
    { }

    void add(Duration sample) noexcept { m_average += (sample - m_average) / weight; }
    [[nodiscard]] Duration average() const noexcept { return m_average; }

    /// Time before its deadline that a request needs in order to be started. Never exceeds the
    /// expected time: with an average that is too high, no request would start and the average
    /// could not recover.
    [[nodiscard]] Duration requiredTime() const noexcept { return std::min(m_average, m_expected); }

private:
    static constexpr int weight = 16;

    Duration m_expected;
    Duration m_average;
};

} // namespace cowsliprock::requests
