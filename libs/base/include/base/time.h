#pragma once

#include <chrono>
#include <cstdint>
#include <variant>

namespace cowsliprock {

/// Type of all durations inside the system.
using Duration = std::chrono::microseconds;

/// Rounds towards zero to whole milliseconds, for log lines and interfaces that use this unit.
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration time) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Clock type of the time points of the runtime's monotonic clock. Time points of different
/// processes are not comparable.
struct RuntimeTimeScale
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeTimeScale, duration>;
};

using TimePoint = RuntimeTimeScale::time_point;

/// Reads the operating system's monotonic clock that also advances while the machine is suspended.
struct BootTimeSource
{
    [[nodiscard]] TimePoint now() const noexcept;
};

/// Time that advances only when a test advances it.
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

    /// Stops the clock at the current time. From then on, only advance() changes it.
    void pause() noexcept;

    /// Moves a paused clock forward. Has no effect on a running clock.
    void advance(Duration step) noexcept;

private:
    std::variant<BootTimeSource, ManualSource> m_source;
};

} // namespace cowsliprock
