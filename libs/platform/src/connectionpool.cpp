#include "connectionpool.h"

#include <utility>

namespace cowsliprock {

ConnectionPool::ConnectionPool(ConnectionSettings settings, Duration maxIdle)
    : m_settings(settings)
    , m_maxIdle(maxIdle)
{ }

HttpExchange ConnectionPool::exchange(const std::string &address, const HttpRequest &request,
                                      const Clock &clock, const ExchangeLimits &limits)
{
    std::unique_ptr<HttpConnection> connection = acquire(address);
    HttpExchange result = connection->exchange(request, clock, limits);
    if (result.answer && m_settings.keepAlive && connection->reusable())
        release(std::move(connection));
    return result;
}

std::unique_ptr<HttpConnection> ConnectionPool::acquire(const std::string &address)
{
    {
        const std::lock_guard guard(m_mutex);
        const SteadyTime oldest = std::chrono::steady_clock::now() - m_maxIdle;
        if (const auto found = m_idle.find(address); found != m_idle.end()) {
            std::vector<IdleConnection> &idle = found->second;
            if (!idle.empty() && idle.back().idleSince >= oldest) {
                std::unique_ptr<HttpConnection> connection = std::move(idle.back().connection);
                idle.pop_back();
                return connection;
            }
            m_idle.erase(found);
        }
    }
    return std::make_unique<HttpConnection>(address, m_settings);
}

void ConnectionPool::release(std::unique_ptr<HttpConnection> connection)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const std::lock_guard guard(m_mutex);
    evictExpired(now);
    const std::string address = connection->address();
    m_idle[address].push_back({ std::move(connection), now });
}

void ConnectionPool::evictExpired(SteadyTime now)
{
    if (now - m_lastEviction < m_maxIdle)
        return;
    m_lastEviction = now;
    for (auto &[address, idle] : m_idle)
        std::erase_if(
            idle, [&](const IdleConnection &entry) { return now - entry.idleSince > m_maxIdle; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace cowsliprock
