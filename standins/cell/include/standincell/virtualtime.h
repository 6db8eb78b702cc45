#pragma once

#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cowsliprock::standincell {

/// Time that moves only when run() is called; events at one time run in the order of their calls.
class VirtualTime : public Timers
{
public:
    [[nodiscard]] TimePoint now() const noexcept override { return m_now; }
    [[nodiscard]] std::chrono::system_clock::time_point timeOfDay() const noexcept override
    {
        return std::chrono::system_clock::time_point(m_now.time_since_epoch());
    }
    void after(Duration delay, std::function<void()> action) override;

    /// Handles all events up to \p time from now.
    void run(Duration time);

private:
    TimePoint m_now{ std::chrono::hours(1) };
    std::uint64_t m_sequence = 0;
    std::multimap<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace cowsliprock::standincell
