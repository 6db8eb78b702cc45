#pragma once

#include <base/time.h>

#include <algorithm>
#include <cstddef>

namespace cowsliprock::standincell {

/// One direction of a link: what does not fit its rate waits in its queue.
class Link
{
public:
    /// Time from \p now until \p bytes have passed. A rate of 0 has no bound.
    Duration pass(TimePoint now, std::size_t bytes, double bytesPerSecond)
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
