#pragma once

#include <base/time.h>

#include <cstdint>

namespace cowsliprock::cell {

/// Bounds the orders without an answer by additive increase and multiplicative decrease, so that
/// what the link cannot carry waits here, where urgent work can still go first, and not in the
/// queues on the way. Single workers that do not answer leave the window as it is.
class SendWindow
{
public:
    [[nodiscard]] bool open() const noexcept { return m_inFlight < size(); }

    void sent() noexcept { ++m_inFlight; }

    /// An order was answered, or is not waited for any more. \p mean is how long answers take.
    void ended(TimePoint now, Duration mean) noexcept;

    [[nodiscard]] std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(m_size); }
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }

private:
    static constexpr double initialSize = 128;

    double m_size = initialSize;
    std::uint32_t m_inFlight = 0;
    TimePoint m_shrunkUntil{}; ///< Answers until then belong to orders of the larger window.
};

} // namespace cowsliprock::cell
