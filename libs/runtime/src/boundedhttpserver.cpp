#include "boundedhttpserver.h"

#include "requeststream.h"

#include <functional>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cowsliprock {

namespace {

constexpr std::string_view overloadResponse =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";

/// Set while a connection is processed for which no thread is available.
thread_local bool rejectConnection = false;

/// Thread pool whose queue is bounded. Tasks beyond the bound run at once and reject their
/// connection.
class BoundedThreadPool : public httplib::ThreadPool
{
public:
    BoundedThreadPool(std::size_t threads, const std::size_t &maxQueued,
                      std::atomic<std::size_t> &queued)
        : ThreadPool(threads)
        , m_maxQueued(maxQueued)
        , m_queued(queued)
    { }

    void enqueue(std::function<void()> task) override
    {
        if (m_queued >= m_maxQueued) {
            rejectConnection = true;
            task();
            rejectConnection = false;
            return;
        }
        ++m_queued;
        ThreadPool::enqueue([&queued = m_queued, task = std::move(task)] {
            --queued;
            task();
        });
    }

private:
    const std::size_t &m_maxQueued;
    std::atomic<std::size_t> &m_queued;
};

} // namespace

BoundedHttpServer::BoundedHttpServer()
{
    setThreads(CPPHTTPLIB_THREAD_POOL_COUNT);
}

void BoundedHttpServer::setThreads(std::size_t threads)
{
    new_task_queue = [this, threads] {
        return new BoundedThreadPool(threads, m_limits.queuedConnections, m_queued);
    };
}

bool BoundedHttpServer::process_and_close_socket(socket_t socket)
{
    bool processed = false;
    if (rejectConnection)
        ::send(socket, overloadResponse.data(), overloadResponse.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
    else
        processed = processRequests(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return processed;
}

bool BoundedHttpServer::processRequests(socket_t socket)
{
    RequestStream stream(socket, m_limits, m_bytes);
    const std::chrono::seconds keepAliveTimeout(keep_alive_timeout_sec_);
    for (auto left = keep_alive_max_count_; left > 0 && svr_sock_ != INVALID_SOCKET; --left) {
        if (!stream.startMessage(keepAliveTimeout))
            return true;
        bool closed = false;
        if (!process_request(stream, left == 1, closed, nullptr))
            return false;
        if (closed)
            return true;
    }
    return true;
}

} // namespace cowsliprock
