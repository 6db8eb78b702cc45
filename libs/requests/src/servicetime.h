#pragma once

#include <base/time.h>

#include <algorithm>

namespace cowsliprock::requests {

/// Moving average of the time that a service's requests take at an endpoint.
class ServiceTime
{
public:
    explicit ServiceTime(Duration expected) noexcept
        : m_expected(expected)
        , m_average(expected)
    { }

    void add(Duration sample) noexcept { m_average += (sample - m_average) / weight; }
    [[nodiscard]] Duration average() const noexcept { return m_average; }

    /// Time that a request must have left to be started. The measured time alone is not used: if
    /// it is too high, no request would start and it would never be measured again.
    [[nodiscard]] Duration least() const noexcept { return std::min(m_average, m_expected); }

private:
    static constexpr int weight = 16;

    Duration m_expected;
    Duration m_average;
};

} // namespace cowsliprock::requests
