#pragma once

#include "httpconnection.h"

#include <base/time.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cowsliprock {

/// Pool of idle connections by address. Thread-safe.
class ConnectionPool
{
public:
    /// Connections that were idle for longer than \p maxIdle are closed instead of reused.
    ConnectionPool(ConnectionSettings settings, Duration maxIdle);

    /// Performs one exchange on an idle connection, or on a new one if there is none.
    [[nodiscard]] HttpExchange exchange(const std::string &address, const HttpRequest &request,
                                        const Clock &clock, const ExchangeLimits &limits);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct IdleConnection
    {
        std::unique_ptr<HttpConnection> connection;
        SteadyTime idleSince;
    };

    [[nodiscard]] std::unique_ptr<HttpConnection> acquire(const std::string &address);
    void release(std::unique_ptr<HttpConnection> connection);
    void evictExpired(SteadyTime now);

    ConnectionSettings m_settings;
    Duration m_maxIdle;
    std::mutex m_mutex;
    std::map<std::string, std::vector<IdleConnection>> m_idle; ///< Most recently used last.
    SteadyTime m_lastEviction = std::chrono::steady_clock::now();
};

} // namespace cowsliprock
