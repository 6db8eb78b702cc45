#include <base/eventlog.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace cowsliprock {

namespace {

constexpr std::chrono::seconds rateWindow{ 1 };

nlohmann::json toJson(const LogField::Value &value)
{
    return std::visit([](const auto &held) { return nlohmann::json(held); }, value);
}

} // namespace

EventLog::EventLog(int descriptor, std::string process, Limits limits)
    : m_descriptor(descriptor)
    , m_process(std::move(process))
    , m_limits(limits)
{
    if (m_descriptor < 0)
        return;
    const int flags = fcntl(m_descriptor, F_GETFL);
    if (flags >= 0)
        static_cast<void>(fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK));
}

void EventLog::write(TimePoint now, std::string_view event, std::initializer_list<LogField> fields)
{
    if (admit(now))
        append(now, event, fields);
}

bool EventLog::admit(TimePoint now)
{
    if (now - m_windowStart >= rateWindow) {
        m_windowStart = now;
        m_linesInWindow = 0;
        if (const auto dropped = std::exchange(m_droppedInWindow, 0); dropped > 0)
            append(now, "log.dropped", { { "lines", dropped } });
    }
    if (m_linesInWindow >= m_limits.linesPerSecond || m_buffer.size() >= m_limits.bufferBytes) {
        ++m_dropped;
        ++m_droppedInWindow;
        return false;
    }
    ++m_linesInWindow;
    return true;
}

void EventLog::append(TimePoint now, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    nlohmann::ordered_json line;
    line["t"] = milliseconds;
    line["process"] = m_process;
    line["event"] = event;
    for (const auto &field : fields)
        line[std::string(field.name)] = toJson(field.value);
    m_buffer += line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    m_buffer += '\n';
}

void EventLog::flush()
{
    if (m_descriptor < 0 || m_buffer.empty())
        return;
    const ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
    // A reader that does not keep up leaves the rest for the next flush.
    if (written > 0)
        m_buffer.erase(0, static_cast<std::size_t>(written));
}

} // namespace cowsliprock
