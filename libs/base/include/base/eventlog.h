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

/// One member of a structured log line.
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

/// Structured log: one JSON object a line, buffered, with a bounded rate of lines and bytes.
/// Lines above the rate are counted and reported by a line of their own, and so are lines that
/// repeat the one before of their event. Writing never blocks: what the reader does not take stays
/// in the buffer, and lines that no longer fit are dropped.
/// Not thread-safe; belongs to the event loop's thread.
class EventLog
{
public:
    using TimeOfDay = std::function<std::chrono::system_clock::time_point()>;

    struct Limits
    {
        std::uint32_t linesPerSecond = 2000;
        std::size_t bytesPerSecond = 512UL * 1024UL;
        std::size_t bufferBytes = 256UL * 1024UL;
    };

    /// \p descriptor is written to by flush(); it is set to non-blocking. -1 keeps all lines in
    /// the buffer, for tests. \p timeOfDay dates the lines, so that logs of several machines can
    /// be merged; without it they have no date.
    EventLog(int descriptor, std::string process, Limits limits, TimeOfDay timeOfDay = {});
    EventLog(int descriptor, std::string process)
        : EventLog(descriptor, std::move(process), Limits())
    { }

    /// Adds a line. \p now bounds the rate and is printed as "t" in milliseconds.
    void write(TimePoint now, std::string_view event, std::initializer_list<LogField> fields);

    /// As write(), for lines of which there are many and that can be spared: they get at most half
    /// of the rate, so that they never push out the others.
    void writeRoutine(TimePoint now, std::string_view event,
                      std::initializer_list<LogField> fields);

    /// \p action is called from write() when lines begin to wait for a flush.
    void onWaiting(std::function<void()> action) { m_waiting = std::move(action); }

    /// Writes as much of the buffer as the reader takes. Returns false if a part is left.
    bool flush();

    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }
    [[nodiscard]] const std::string &buffered() const noexcept { return m_buffer; }

private:
    /// The last line of an event in the current window, for the count of its repetitions.
    struct Last
    {
        std::string fields;
        std::uint64_t repeats = 0;
    };

    /// What a line may use of the limits.
    enum class Share { Half, Whole };

    void writeWithin(Share share, TimePoint now, std::string_view event,
                     std::initializer_list<LogField> fields);
    void beginWindow(TimePoint now);
    [[nodiscard]] bool full(Share share) const noexcept;
    [[nodiscard]] bool repeats(std::string_view event, const std::string &fields);
    void append(TimePoint now, std::string_view event, const std::string &fields);

    int m_descriptor;
    std::string m_process;
    Limits m_limits;
    TimeOfDay m_timeOfDay;
    std::function<void()> m_waiting;
    std::string m_buffer;
    TimePoint m_windowStart{};
    std::uint32_t m_linesInWindow = 0;
    std::size_t m_bytesInWindow = 0;
    std::map<std::string, Last, std::less<>> m_last;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedInWindow = 0;
};

} // namespace cowsliprock
