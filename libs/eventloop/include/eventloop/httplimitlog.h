#pragma once

#include <eventloop/httplimits.h>
#include <eventloop/timers.h>

#include <base/eventlog.h>
#include <base/metrics.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace cowsliprock {

class HttpServer;

/// Counts the messages and connections that exceeded a limit, and logs them with their number, at
/// most one line per second, server and limit.
class HttpLimitLog
{
public:
    HttpLimitLog(EventLog &log, Metrics &metrics, Timers &timers);

    /// Records what \p server reports from now on. This object must outlive the server.
    void add(const std::string &name, HttpServer &server);

    void record(const std::string &server, HttpLimit limit);

private:
    struct Kind
    {
        std::uint64_t unlogged = 0;
        TimePoint lastLine{};
        bool timerRunning = false;
    };
    using Name = std::pair<std::string, HttpLimit>;

    void write(const Name &name, Kind &kind);

    EventLog &m_log;
    Metrics &m_metrics;
    Timers &m_timers;
    std::map<Name, Kind> m_kinds;
};

} // namespace cowsliprock
