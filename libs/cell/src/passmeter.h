#pragma once

#include <base/time.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cowsliprock::cell {

/// Measures the delay and the duration of scheduler passes. Passes are started by timers of the
/// event loop of the daemon, so their delay shows how long any event waits in the loop.
class PassMeter
{
public:
    struct Sums
    {
        std::uint64_t passes = 0;
        Duration totalTime{}; ///< Time spent in passes.
        Duration maxDelay{};  ///< Maximum delay of a pass after its due time.
    };

    /// Marks the start of a pass that was due at \p due.
    void begin(TimePoint due, TimePoint now) noexcept
    {
        m_passStartedAt = now;
        m_sums.maxDelay = std::max<Duration>(m_sums.maxDelay, now - due);
    }

    /// Marks the end of the pass; returns its duration.
    Duration end(TimePoint now) noexcept
    {
        ++m_sums.passes;
        m_sums.totalTime += now - m_passStartedAt;
        return now - m_passStartedAt;
    }

    /// Returns the sums since the last call and resets them.
    Sums take() noexcept { return std::exchange(m_sums, {}); }

private:
    Sums m_sums;
    TimePoint m_passStartedAt{};
};

} // namespace cowsliprock::cell
