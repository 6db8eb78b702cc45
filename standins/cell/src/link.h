#pragma once

#include <base/time.h>

#include <algorithm>
#include <cstddef>

namespace cowsliprock::standincell {

/// One direction of a network link with limited bandwidth and an unbounded send queue.
class Link
{
public:
    /// Queues \p bytes and returns the time until they are transmitted. A rate of 0 means
    /// unlimited.
    Duration transmit(TimePoint now, std::size_t bytes, double bytesPerSecond)
    {
        if (bytesPerSecond <= 0)
            return Duration::zero();
        const std::chrono::duration<double> time(static_cast<double>(bytes) / bytesPerSecond);
        m_freeAt = std::max(m_freeAt, now) + std::chrono::duration_cast<Duration>(time);
        return m_freeAt - now;
    }

private:
    TimePoint m_freeAt{};
};

} // namespace cowsliprock::standincell
