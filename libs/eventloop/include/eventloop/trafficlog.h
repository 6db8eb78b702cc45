#pragma once

#include <eventloop/httpclient.h>

#include <base/eventlog.h>
#include <base/time.h>

#include <string>
#include <vector>

namespace cowsliprock {

/// Logs the traffic between the HTTP clients of a daemon and their peers. It has no timer of its
/// own, so that it does not wake up an idle daemon.
class TrafficLog
{
public:
    explicit TrafficLog(EventLog &log);

    /// \p client must outlive this object.
    void add(const std::string &name, const HttpClient &client);

    /// Writes a log entry for each client with failures or sufficient traffic, at most once per
    /// second.
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
    TimePoint m_lastWrite{};
};

} // namespace cowsliprock
