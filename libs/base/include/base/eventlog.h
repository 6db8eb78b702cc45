#pragma once

#include <base/time.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace cowsliprock {

/// A named value of a structured log line.
struct LogField
{
    using Value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

    LogField(std::string_view key, const std::string &text)
        : name(key)
        , value(std::string_view(text))
    { }
    LogField(std::string_view key, const char *text)
        : name(key)
        , value(std::string_view(text))
    { }
    LogField(std::string_view key, std::int64_t number)
        : name(key)
        , value(number)
    { }
    LogField(std::string_view key, std::uint64_t number)
        : name(key)
        , value(number)
    { }
    LogField(std::string_view key, std::uint32_t number)
        : name(key)
        , value(std::uint64_t{ number })
    { }
    LogField(std::string_view key, std::int32_t number)
        : name(key)
        , value(std::int64_t{ number })
    { }
    LogField(std::string_view key, double number)
        : name(key)
        , value(number)
    { }
    LogField(std::string_view key, bool flag)
        : name(key)
        , value(flag)
    { }

    std::string_view name;
    Value value;
};

/// Structured log with one JSON object per line. Output is buffered and limited in lines and bytes
/// per second. Lines above the limits are dropped, and lines that repeat the previous line of the
/// same event are suppressed; the numbers of both are logged as "log.dropped" and "log.repeated"
/// when the next one-second window begins. Writing never blocks: data that the reader does not
/// accept stays in the buffer, and lines that no longer fit are dropped.
/// Not thread-safe; used only from the thread of the event loop.
class EventLog
{
public:
    /// Source of wall-clock time.
    using TimeOfDay = std::function<std::chrono::system_clock::time_point()>;

    /// Limits on the output rate and on the buffer.
    struct Limits
    {
        std::uint32_t linesPerSecond = 2000;
        std::size_t bytesPerSecond = 512UL * 1024UL;
        std::size_t bufferBytes = 256UL * 1024UL;
    };

    /// flush() writes to \p descriptor, which is set to non-blocking mode. With -1, all lines stay
    /// in the buffer, for tests. \p timeOfDay gives the wall-clock time that is added to each line
    /// as "time", so that the logs of several machines can be merged; without it, "time" is
    /// omitted.
    EventLog(int descriptor, std::string process, Limits limits, TimeOfDay timeOfDay = {});
    EventLog(int descriptor, std::string process)
        : EventLog(descriptor, std::move(process), Limits())
    { }

    /// Appends a line to the buffer. \p now selects the rate-limiting window and is written as "t",
    /// in milliseconds.
    void write(TimePoint now, std::string_view event, std::initializer_list<LogField> fields);

    /// Like write(), for frequent lines of low importance. They may use at most half of each limit,
    /// so that they never displace other lines.
    void writeRoutine(TimePoint now, std::string_view event,
                      std::initializer_list<LogField> fields);

    /// Sets the callback that write() invokes when a line is left in a buffer that was empty, for
    /// example to schedule a flush().
    void onWaiting(std::function<void()> action) { m_pendingCallback = std::move(action); }

    /// Writes as much of the buffer as the reader accepts. Returns false if data remains.
    bool flush();

    /// Number of lines dropped since construction.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }
    /// Lines that have not been written to the descriptor yet.
    [[nodiscard]] const std::string &buffered() const noexcept { return m_buffer; }

private:
    /// The most recent line of an event in the current window and how often it was repeated.
    struct LastLine
    {
        std::string fields;
        std::uint64_t repetitions = 0;
    };

    /// Low-priority lines may use half of each limit, normal ones all of it.
    enum class LinePriority { Low, Normal };

    void writeWithPriority(LinePriority priority, TimePoint now, std::string_view event,
                           std::initializer_list<LogField> fields);
    void beginWindow(TimePoint now);
    [[nodiscard]] bool limitReached(LinePriority priority) const noexcept;
    /// Returns whether \p fields equal those of the previous line of \p event, and counts the
    /// repetition if so.
    [[nodiscard]] bool countRepetition(std::string_view event, const std::string &fields);
    void append(TimePoint now, std::string_view event, const std::string &fields);

    int m_descriptor;
    std::string m_process;
    Limits m_limits;
    TimeOfDay m_timeOfDay;
    std::function<void()> m_pendingCallback;
    std::string m_buffer;
    TimePoint m_windowStart{};
    std::uint32_t m_linesInWindow = 0;
    std::size_t m_bytesInWindow = 0;
    std::map<std::string, LastLine, std::less<>> m_lastLines;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedInWindow = 0;
};

} // namespace cowsliprock
