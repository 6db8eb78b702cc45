#include <eventloop/responsetimes.h>

#include <algorithm>
#include <chrono>

namespace cowsliprock {

namespace {

/// Lower bound, so that an unresponsive connection is abandoned soon while responses are fast.
constexpr std::chrono::milliseconds minTimeout{ 300 };
/// Upper bound; a later response is of no use any more.
constexpr std::chrono::milliseconds maxTimeout{ 2000 };
/// By then a response that was slow because of a link between regions has arrived.
constexpr std::chrono::milliseconds minRepeatDelay{ 150 };
constexpr int meanDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr int timeoutDeviations = 4;

} // namespace

void ResponseTimes::observe(Duration time) noexcept
{
    if (!m_observed) {
        m_observed = true;
        m_mean = time;
        m_deviation = time / 2;
        return;
    }
    const Duration error = time > m_mean ? time - m_mean : m_mean - time;
    m_deviation += (error - m_deviation) / deviationDivisor;
    m_mean += (time - m_mean) / meanDivisor;
}

Duration ResponseTimes::timeout() const noexcept
{
    return std::max<Duration>(repeatAfter(), minTimeout);
}

Duration ResponseTimes::repeatAfter() const noexcept
{
    return std::clamp<Duration>(m_mean + timeoutDeviations * m_deviation, minRepeatDelay,
                                maxTimeout);
}

} // namespace cowsliprock
