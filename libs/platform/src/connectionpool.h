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

/// Idle connections by address. Thread-safe.
class ConnectionPool
{
public:
    /// A connection that was idle for longer than \p maxIdle is closed instead of used.
    ConnectionPool(ConnectionSettings settings, Duration maxIdle);

    /// Performs one exchange on an idle connection or a new one.
    [[nodiscard]] HttpExchange exchange(const std::string &address, const HttpRequest &request,
                                        const Clock &clock, const ExchangeLimits &limits);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct Idle
    {
        std::unique_ptr<HttpConnection> connection;
        SteadyTime since;
    };

    [[nodiscard]] std::unique_ptr<HttpConnection> take(const std::string &address);
    void give(std::unique_ptr<HttpConnection> connection);
    void sweep(SteadyTime now);

    ConnectionSettings m_settings;
    Duration m_maxIdle;
    std::mutex m_mutex;
    std::map<std::string, std::vector<Idle>> m_idle; ///< Latest used at the back.
    SteadyTime m_swept = std::chrono::steady_clock::now();
};

} // namespace cowsliprock
