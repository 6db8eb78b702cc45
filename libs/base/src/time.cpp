#include <base/time.h>

namespace cowsliprock {

TimePoint SteadySource::now() const noexcept
{
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

TimePoint Clock::now() const noexcept
{
    return std::visit([](const auto &source) { return source.now(); }, m_source);
}

void Clock::pause() noexcept
{
    m_source = ManualSource{ now() };
}

void Clock::advance(Duration step) noexcept
{
    if (auto *manual = std::get_if<ManualSource>(&m_source))
        manual->current += step;
}

} // namespace cowsliprock
