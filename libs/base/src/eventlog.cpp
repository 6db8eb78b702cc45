#include <base/eventlog.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace cowsliprock {

namespace {

constexpr std::chrono::seconds rateWindow{ 1 };
/// Size limit of a single write: PIPE_BUF of Linux, up to which a pipe accepts a write completely
/// or not at all.
constexpr std::size_t maxChunkBytes = 4096;

nlohmann::json toJson(const LogField::Value &value)
{
    return std::visit([](const auto &alternative) { return nlohmann::json(alternative); }, value);
}

std::string toText(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Serializes the fields that follow the common header of a line, as `,"name":value` each.
std::string toText(std::initializer_list<LogField> fields)
{
    std::string text;
    for (const auto &field : fields) {
        text += ',';
        text += toText(nlohmann::json(field.name));
        text += ':';
        text += toText(toJson(field.value));
    }
    return text;
}

/// Size of the next chunk of \p buffer: complete lines, or a part of a line that exceeds the limit.
std::size_t nextChunkSize(const std::string &buffer)
{
    if (buffer.size() <= maxChunkBytes)
        return buffer.size();
    const auto end = buffer.rfind('\n', maxChunkBytes - 1);
    return end == std::string::npos ? maxChunkBytes : end + 1;
}

} // namespace

EventLog::EventLog(int descriptor, std::string process, Limits limits, TimeOfDay timeOfDay)
    : m_descriptor(descriptor)
    , m_process(std::move(process))
    , m_limits(limits)
    , m_timeOfDay(std::move(timeOfDay))
{
    if (m_descriptor < 0)
        return;
    const int flags = fcntl(m_descriptor, F_GETFL);
    if (flags >= 0)
        static_cast<void>(fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK));
}

void EventLog::write(TimePoint now, std::string_view event, std::initializer_list<LogField> fields)
{
    writeWithPriority(LinePriority::Normal, now, event, fields);
}

void EventLog::writeRoutine(TimePoint now, std::string_view event,
                            std::initializer_list<LogField> fields)
{
    writeWithPriority(LinePriority::Low, now, event, fields);
}

void EventLog::writeWithPriority(LinePriority priority, TimePoint now, std::string_view event,
                                 std::initializer_list<LogField> fields)
{
    if (now - m_windowStart >= rateWindow)
        beginWindow(now);
    // Checked before formatting, so that dropped lines cost little: under overload they are the
    // majority.
    if (limitReached(priority)) {
        ++m_dropped;
        ++m_droppedInWindow;
        return;
    }
    const auto text = toText(fields);
    if (countRepetition(event, text))
        return;
    ++m_linesInWindow;
    m_bytesInWindow += text.size();
    const bool hadPendingLines = !m_buffer.empty();
    append(now, event, text);
    if (m_descriptor >= 0 && m_buffer.size() >= maxChunkBytes)
        flush();
    if (!hadPendingLines && !m_buffer.empty() && m_pendingCallback)
        m_pendingCallback();
}

void EventLog::beginWindow(TimePoint now)
{
    m_windowStart = now;
    m_linesInWindow = 0;
    m_bytesInWindow = 0;
    for (const auto &[event, last] : std::exchange(m_lastLines, {})) {
        if (last.repetitions > 0)
            append(now, "log.repeated", toText({ { "of", event }, { "times", last.repetitions } }));
    }
    if (const auto dropped = std::exchange(m_droppedInWindow, 0); dropped > 0)
        append(now, "log.dropped", toText({ { "lines", dropped } }));
}

bool EventLog::countRepetition(std::string_view event, const std::string &fields)
{
    const auto last = m_lastLines.find(event);
    if (last == m_lastLines.end()) {
        m_lastLines.emplace(std::string(event), LastLine{ fields, 0 });
        return false;
    }
    if (last->second.fields == fields) {
        ++last->second.repetitions;
        return true;
    }
    last->second.fields = fields;
    return false;
}

bool EventLog::limitReached(LinePriority priority) const noexcept
{
    const std::uint32_t divisor = priority == LinePriority::Low ? 2 : 1;
    return m_linesInWindow >= m_limits.linesPerSecond / divisor
        || m_bytesInWindow >= m_limits.bytesPerSecond / divisor
        || m_buffer.size() >= m_limits.bufferBytes / divisor;
}

void EventLog::append(TimePoint now, std::string_view event, const std::string &fields)
{
    const auto milliseconds = [](auto time) {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
    };
    m_buffer += "{\"t\":" + milliseconds(now);
    if (m_timeOfDay)
        m_buffer += ",\"time\":" + milliseconds(m_timeOfDay());
    m_buffer += ",\"process\":" + toText(nlohmann::json(m_process));
    m_buffer += ",\"event\":" + toText(nlohmann::json(event));
    m_buffer += fields;
    m_buffer += "}\n";
}

bool EventLog::flush()
{
    while (m_descriptor >= 0 && !m_buffer.empty()) {
        const auto chunkBytes = nextChunkSize(m_buffer);
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), chunkBytes);
        // The descriptor accepts no more data at present; the rest stays for the next flush.
        if (written <= 0)
            return false;
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace cowsliprock
