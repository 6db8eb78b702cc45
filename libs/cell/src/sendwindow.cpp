#include "sendwindow.h"

#include <algorithm>
#include <chrono>

namespace cowsliprock::cell {

namespace {

constexpr double minSize = 8;
constexpr double maxSize = 1024;
constexpr double decreaseFactor = 0.7;
/// A longer answer time indicates queueing: a round trip between regions takes 40 ms.
constexpr std::chrono::milliseconds queueingThreshold{ 250 };

} // namespace

void SendWindow::ended(TimePoint now, Duration mean) noexcept
{
    const bool used = 2.0 * m_inFlight >= m_size;
    m_inFlight -= std::min(m_inFlight, 1U);
    if (mean <= queueingThreshold) {
        if (used)
            m_size = std::min(m_size + 1.0 / m_size, maxSize);
        return;
    }
    if (now < m_shrunkUntil)
        return;
    m_shrunkUntil = now + mean;
    m_size = std::max(m_size * decreaseFactor, minSize);
}

} // namespace cowsliprock::cell
