#include <base/eventlog.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace cowsliprock {

namespace {

constexpr std::chrono::seconds rateWindow{ 1 };
/// Lines are handed on in pieces of this size, which a pipe takes whole or not at all.
constexpr std::size_t pieceBytes = 4096;

nlohmann::json toJson(const LogField::Value &value)
{
    return std::visit([](const auto &held) { return nlohmann::json(held); }, value);
}

std::string toText(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// The members of a line beyond its head: `,"name":value` for each.
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

/// Size of the next piece of \p buffer: whole lines, or a part of a line that is too long.
std::size_t nextPiece(const std::string &buffer)
{
    if (buffer.size() <= pieceBytes)
        return buffer.size();
    const auto end = buffer.rfind('\n', pieceBytes - 1);
    return end == std::string::npos ? pieceBytes : end + 1;
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
    writeWithin(Share::Whole, now, event, fields);
}

void EventLog::writeRoutine(TimePoint now, std::string_view event,
                            std::initializer_list<LogField> fields)
{
    writeWithin(Share::Half, now, event, fields);
}

void EventLog::writeWithin(Share share, TimePoint now, std::string_view event,
                           std::initializer_list<LogField> fields)
{
    if (now - m_windowStart >= rateWindow)
        beginWindow(now);
    // Lines that are dropped cost no formatting: there are most of them when time is short.
    if (full(share)) {
        ++m_dropped;
        ++m_droppedInWindow;
        return;
    }
    const auto text = toText(fields);
    if (repeats(event, text))
        return;
    ++m_linesInWindow;
    m_bytesInWindow += text.size();
    const bool waited = !m_buffer.empty();
    append(now, event, text);
    if (m_descriptor >= 0 && m_buffer.size() >= pieceBytes)
        flush();
    if (!waited && !m_buffer.empty() && m_waiting)
        m_waiting();
}

void EventLog::beginWindow(TimePoint now)
{
    m_windowStart = now;
    m_linesInWindow = 0;
    m_bytesInWindow = 0;
    for (const auto &[event, last] : std::exchange(m_last, {})) {
        if (last.repeats > 0)
            append(now, "log.repeated", toText({ { "of", event }, { "times", last.repeats } }));
    }
    if (const auto dropped = std::exchange(m_droppedInWindow, 0); dropped > 0)
        append(now, "log.dropped", toText({ { "lines", dropped } }));
}

bool EventLog::repeats(std::string_view event, const std::string &fields)
{
    const auto last = m_last.find(event);
    if (last == m_last.end()) {
        m_last.emplace(std::string(event), Last{ fields, 0 });
        return false;
    }
    if (last->second.fields == fields) {
        ++last->second.repeats;
        return true;
    }
    last->second.fields = fields;
    return false;
}

bool EventLog::full(Share share) const noexcept
{
    const std::uint32_t parts = share == Share::Half ? 2 : 1;
    return m_linesInWindow >= m_limits.linesPerSecond / parts
        || m_bytesInWindow >= m_limits.bytesPerSecond / parts
        || m_buffer.size() >= m_limits.bufferBytes / parts;
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
        const auto piece = nextPiece(m_buffer);
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), piece);
        // A reader that does not keep up leaves the rest for the next flush.
        if (written <= 0)
            return false;
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace cowsliprock
