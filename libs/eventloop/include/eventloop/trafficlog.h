#pragma once

#include <eventloop/httpclient.h>

#include <base/eventlog.h>
#include <base/time.h>

#include <string>
#include <vector>

namespace cowsliprock {

/// Logs how much the clients of a daemon exchange with their peers. It has no timer of its own, so
/// that an idle daemon is not woken for it.
class TrafficLog
{
public:
    explicit TrafficLog(EventLog &log);

    /// \p client must outlive this object.
    void add(const std::string &name, const HttpClient &client);

    /// Writes a line for each client with traffic worth a line, at most once a second.
    void write(TimePoint now);

private:
    struct Source
    {
        std::string name;
        const HttpClient &client;
        HttpTraffic logged;
    };

    EventLog &m_log;
    std::vector<Source> m_sources;
    TimePoint m_written{};
};

} // namespace cowsliprock
