#include <eventloop/httplimitlog.h>

#include <eventloop/httpserver.h>

#include <chrono>

namespace cowsliprock {

namespace {

constexpr std::chrono::seconds lineInterval{ 1 };

} // namespace

HttpLimitLog::HttpLimitLog(EventLog &log, Metrics &metrics, Timers &timers)
    : m_log(log)
    , m_metrics(metrics)
    , m_timers(timers)
{ }

void HttpLimitLog::add(const std::string &name, HttpServer &server)
{
    server.onLimit([this, name](HttpLimit limit) { record(name, limit); });
}

void HttpLimitLog::record(const std::string &server, HttpLimit limit)
{
    m_metrics.count("http." + server + "." + toString(limit));
    const Name name(server, limit);
    auto &kind = m_kinds[name];
    ++kind.unlogged;
    const auto age = m_timers.now() - kind.lastLine;
    if (kind.timerRunning)
        return;
    if (age >= lineInterval) {
        write(name, kind);
        return;
    }
    kind.timerRunning = true;
    m_timers.after(lineInterval - age, [this, name, &kind] {
        kind.timerRunning = false;
        write(name, kind);
    });
}

void HttpLimitLog::write(const Name &name, Kind &kind)
{
    kind.lastLine = m_timers.now();
    m_log.writeRoutine(kind.lastLine, "http.limit",
                       { { "server", name.first },
                         { "limit", toString(name.second) },
                         { "connections", kind.unlogged } });
    kind.unlogged = 0;
}

} // namespace cowsliprock
