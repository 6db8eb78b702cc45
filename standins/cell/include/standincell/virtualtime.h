#pragma once

#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cowsliprock::standincell {

/// Clock that advances only in run(). Events with equal due times run in the order of scheduling.
class VirtualTime : public Timers
{
public:
    [[nodiscard]] TimePoint now() const noexcept override { return m_now; }
    [[nodiscard]] std::chrono::system_clock::time_point timeOfDay() const noexcept override
    {
        return std::chrono::system_clock::time_point(m_now.time_since_epoch());
    }
    void after(Duration delay, std::function<void()> action) override;

    /// Advances the clock by \p time and runs all events due by then.
    void run(Duration time);

private:
    TimePoint m_now{ std::chrono::hours(1) };
    std::uint64_t m_sequence = 0;
    std::multimap<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace cowsliprock::standincell
