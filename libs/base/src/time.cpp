#include <base/time.h>

#include <ctime>

namespace cowsliprock {

TimePoint BootTimeSource::now() const noexcept
{
    // CLOCK_BOOTTIME advances while the machine is suspended. CLOCK_MONOTONIC does not: an expired
    // lease would still appear valid after the machine resumes.
    timespec reading{};
    static_cast<void>(clock_gettime(CLOCK_BOOTTIME, &reading));
    const auto sinceBoot =
        std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
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
