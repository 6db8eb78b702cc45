#pragma once

#include <base/time.h>

#include <chrono>
#include <functional>

namespace cowsliprock {

/// Time and deferred calls as seen by code that runs in one event loop.
/// Not thread-safe: every member is called from the loop's thread.
class Timers
{
public:
    virtual ~Timers() = default;

    /// Monotonic time that goes on while the machine is suspended.
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;

    /// Time of day. It may jump; only scheduled occurrences and log lines may depend on it.
    [[nodiscard]] virtual std::chrono::system_clock::time_point timeOfDay() const noexcept = 0;

    /// Calls \p action once, no earlier than \p delay from now.
    virtual void after(Duration delay, std::function<void()> action) = 0;
};

} // namespace cowsliprock
