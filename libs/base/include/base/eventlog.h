#pragma once

#include <base/time.h>

#include <cstdint>
#include <initializer_list>
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

/// Structured log: one JSON object a line, buffered, with a bounded rate.
/// Lines above the rate are counted and reported by a line of their own. Writing never blocks:
/// what the reader does not take stays in the buffer, and lines that no longer fit are dropped.
/// Not thread-safe; belongs to the event loop's thread.
class EventLog
{
public:
    struct Limits
    {
        std::uint32_t linesPerSecond = 2000;
        std::size_t bufferBytes = 256UL * 1024UL;
    };

    /// \p descriptor is written to by flush(); it is set to non-blocking. -1 keeps all lines in
    /// the buffer, for tests.
    EventLog(int descriptor, std::string process, Limits limits);
    EventLog(int descriptor, std::string process)
        : EventLog(descriptor, std::move(process), Limits())
    { }

    /// Adds a line. \p now bounds the rate and is printed as "t" in milliseconds.
    void write(TimePoint now, std::string_view event, std::initializer_list<LogField> fields);

    /// Writes as much of the buffer as the reader takes.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }
    [[nodiscard]] const std::string &buffered() const noexcept { return m_buffer; }

private:
    bool admit(TimePoint now);
    void append(TimePoint now, std::string_view event, std::initializer_list<LogField> fields);

    int m_descriptor;
    std::string m_process;
    Limits m_limits;
    std::string m_buffer;
    TimePoint m_windowStart{};
    std::uint32_t m_linesInWindow = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedInWindow = 0;
};

} // namespace cowsliprock
