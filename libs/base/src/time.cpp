#include <base/time.h>

#include <ctime>

namespace cowsliprock {

TimePoint SteadySource::now() const noexcept
{
    // The boot-time clock goes on while the machine is suspended; the steady clock stands still
    // then, and a lease would look valid after it has lapsed.
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
