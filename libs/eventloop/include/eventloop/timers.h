#pragma once

#include <base/time.h>

#include <chrono>
#include <functional>

namespace cowsliprock {

/// Interface to the clocks and timers of an event loop.
/// Not thread-safe: all members must be called on the event loop's thread.
class Timers
{
public:
    virtual ~Timers() = default;

    /// Monotonic time, including the time for which the machine was suspended.
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;

    /// Wall-clock time. It may jump, so only scheduled occurrences and log entries may depend on
    /// it.
    [[nodiscard]] virtual std::chrono::system_clock::time_point timeOfDay() const noexcept = 0;

    /// Calls \p action once, after \p delay at the earliest.
    virtual void after(Duration delay, std::function<void()> action) = 0;
};

} // namespace cowsliprock
