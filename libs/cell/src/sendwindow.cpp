#include "sendwindow.h"

#include <algorithm>
#include <chrono>

namespace cowsliprock::cell {

namespace {

constexpr double minSize = 8;
constexpr double maxSize = 1024;
constexpr double decrease = 0.7;
/// Answers that take longer have waited in a queue: a round trip between regions takes 40 ms.
constexpr std::chrono::milliseconds queuedAnswer{ 250 };

} // namespace

void SendWindow::ended(TimePoint now, Duration mean) noexcept
{
    const bool used = 2.0 * m_inFlight >= m_size;
    m_inFlight -= std::min(m_inFlight, 1U);
    if (mean <= queuedAnswer) {
        if (used)
            m_size = std::min(m_size + 1.0 / m_size, maxSize);
        return;
    }
    if (now < m_shrunkUntil)
        return;
    m_shrunkUntil = now + mean;
    m_size = std::max(m_size * decrease, minSize);
}

} // namespace cowsliprock::cell
