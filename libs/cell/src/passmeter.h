#pragma once

#include <base/time.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cowsliprock::cell {

/// Measures how late the passes of a scheduler begin and how long they take. Passes begin by timers
/// of the daemon's loop, so that their delay tells how long any event waits there.
class PassMeter
{
public:
    struct Sums
    {
        std::uint64_t passes = 0;
        Duration time{};   ///< In passes.
        Duration latest{}; ///< Largest delay of a pass beyond its time.
    };

    /// A pass that was planned for \p due begins now.
    void begin(TimePoint due, TimePoint now) noexcept
    {
        m_begun = now;
        m_sums.latest = std::max<Duration>(m_sums.latest, now - due);
    }

    /// The pass ends now; returns how long it took.
    Duration end(TimePoint now) noexcept
    {
        ++m_sums.passes;
        m_sums.time += now - m_begun;
        return now - m_begun;
    }

    /// Returns the sums since the last call.
    Sums take() noexcept { return std::exchange(m_sums, {}); }

private:
    Sums m_sums;
    TimePoint m_begun{};
};

} // namespace cowsliprock::cell
