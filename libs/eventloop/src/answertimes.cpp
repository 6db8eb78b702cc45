#include <eventloop/answertimes.h>

#include <algorithm>
#include <chrono>

namespace cowsliprock {

namespace {

/// A silent connection is given up soon while answers come fast ...
constexpr std::chrono::milliseconds shortestTimeout{ 300 };
/// ... and what has waited this long is no use any more.
constexpr std::chrono::milliseconds longestTimeout{ 2000 };
/// An answer that took its time on a link between regions has come by then.
constexpr std::chrono::milliseconds shortestRepeat{ 150 };
constexpr int meanWeight = 8;
constexpr int deviationWeight = 4;
constexpr int deviationsUntilOverdue = 4;

} // namespace

void AnswerTimes::observe(Duration time) noexcept
{
    if (!m_observed) {
        m_observed = true;
        m_mean = time;
        m_deviation = time / 2;
        return;
    }
    const Duration error = time > m_mean ? time - m_mean : m_mean - time;
    m_deviation += (error - m_deviation) / deviationWeight;
    m_mean += (time - m_mean) / meanWeight;
}

Duration AnswerTimes::timeout() const noexcept
{
    return std::max<Duration>(repeatAfter(), shortestTimeout);
}

Duration AnswerTimes::repeatAfter() const noexcept
{
    return std::clamp<Duration>(m_mean + deviationsUntilOverdue * m_deviation, shortestRepeat,
                                longestTimeout);
}

} // namespace cowsliprock
