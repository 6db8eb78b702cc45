#pragma once

#include <base/time.h>

#include <cstdint>

namespace cowsliprock::cell {

/// Congestion window for orders in flight, with additive increase and multiplicative decrease
/// (AIMD). Orders beyond the capacity of the link wait in the scheduler, where urgent work can
/// still overtake them, rather than in network queues. Single unresponsive workers do not change
/// the window.
class SendWindow
{
public:
    [[nodiscard]] bool open() const noexcept { return m_inFlight < size(); }

    void sent() noexcept { ++m_inFlight; }

    /// Records that an order was answered or timed out. \p mean is the mean answer time.
    void ended(TimePoint now, Duration mean) noexcept;

    [[nodiscard]] std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(m_size); }
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }

private:
    static constexpr double initialSize = 128;

    double m_size = initialSize;
    std::uint32_t m_inFlight = 0;
    TimePoint m_shrunkUntil{}; ///< Answers until then belong to orders sent before the window was
                               ///< reduced.
};

} // namespace cowsliprock::cell
