#pragma once

#include <chrono>
#include <cstdint>
#include <variant>

namespace cowsliprock {

/// Unit of all times inside the system.
using Duration = std::chrono::microseconds;

/// Whole milliseconds, for log lines and for interfaces that count in them.
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration time) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Tag of the runtime's monotonic time scale. Values of two processes are not comparable.
struct RuntimeTimeScale
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeTimeScale, duration>;
};

using TimePoint = RuntimeTimeScale::time_point;

/// Reads the operating system's monotonic clock that includes suspended time.
struct SteadySource
{
    [[nodiscard]] TimePoint now() const noexcept;
};

/// Time that stands still until a test advances it.
struct ManualSource
{
    TimePoint current{ std::chrono::seconds(1000) };
    [[nodiscard]] TimePoint now() const noexcept { return current; }
};

/// The runtime's clock. Not thread-safe while a test pauses or advances it.
class Clock
{
public:
    Clock() noexcept = default;

    [[nodiscard]] TimePoint now() const noexcept;

    /// Stops the clock at the present time; advance() moves it from then on.
    void pause() noexcept;

    /// Moves a paused clock forward. Has no effect on a running clock.
    void advance(Duration step) noexcept;

private:
    std::variant<SteadySource, ManualSource> m_source;
};

} // namespace cowsliprock
