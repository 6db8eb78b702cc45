#include "httpservercore.h"

#include "httpsession.h"
#include "socketoptions.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cowsliprock {

namespace asio = boost::asio;

namespace {

/// Delay before accept() is retried after a failure, such as running out of file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{ 50 };

} // namespace

HttpServerCore::HttpServerCore(EventLoop &eventLoop, HttpServer::Handler requestHandler)
    : loop(eventLoop)
    , handler(std::move(requestHandler))
    , acceptor(eventLoop.context())
    , budget(std::make_shared<ByteBudget>(std::numeric_limits<std::size_t>::max()))
    , m_deadlineTimer(eventLoop.context())
{ }

void HttpServerCore::acceptNext()
{
    acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &error,
                                                      asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->acceptor.is_open())
            return;
        if (!error) {
            self->accepted(std::move(socket));
            return;
        }
        if (error == asio::error::no_descriptors && self->connections > 0)
            static_cast<void>(self->makeRoom(self->connections - 1));
        self->loop.after(acceptRetryDelay, [self] { self->acceptNext(); });
    });
}

void HttpServerCore::accepted(asio::ip::tcp::socket socket)
{
    // If a request is in progress on each connection, the new one exceeds the limit by one, and the
    // next ones wait in the backlog.
    const bool room = makeRoom(std::max<std::size_t>(limits.connections, 1) - 1);
    boost::system::error_code error;
    socket.non_blocking(true, error);
    configureSocket(socket);
    if (!error)
        std::make_shared<HttpSession>(shared_from_this(), std::move(socket))->start();
    if (room)
        acceptNext();
    else
        m_acceptSuspended = true;
}

bool HttpServerCore::makeRoom(std::size_t maxConnections)
{
    while (connections > maxConnections) {
        auto *entry = registry.leastUseful(loop.now());
        if (entry == nullptr)
            return false;
        const auto before = connections;
        entry->evict();
        if (connections < before)
            report(HttpLimit::Connections);
    }
    return true;
}

void HttpServerCore::resumeAccepting()
{
    if (!m_acceptSuspended || !acceptor.is_open())
        return;
    m_acceptSuspended = false;
    acceptNext();
}

void HttpServerCore::evictThrough(ConnectionPhase last)
{
    const auto now = loop.now();
    for (auto *entry = registry.leastUseful(now); entry != nullptr && entry->phase() <= last;
         entry = registry.leastUseful(now)) {
        entry->evict();
    }
}

void HttpServerCore::enter(ConnectionRegistry::Entry &entry, ConnectionPhase phase, TimePoint since,
                           TimePoint deadline)
{
    registry.enter(entry, phase, since, deadline);
    if (deadline < m_timerEnd)
        startDeadlineTimer();
}

/// The timer is not restarted when its connection makes progress, but only when it fires. So a
/// connection that is used all the time costs one timer per idle timeout.
void HttpServerCore::startDeadlineTimer()
{
    const auto next = registry.nextDeadline();
    m_timerEnd = next.value_or(TimePoint::max());
    if (!next)
        return;
    m_deadlineTimer.expires_after(std::max<Duration>(*next - loop.now(), Duration::zero()));
    m_deadlineTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        if (const auto self = weak.lock(); self && !error)
            self->expireConnections();
    });
}

void HttpServerCore::expireConnections()
{
    const auto now = loop.now();
    while (auto *entry = registry.expired(now))
        entry->expire();
    startDeadlineTimer();
}

void HttpServerCore::report(HttpLimit limit) const
{
    if (limitCallback)
        limitCallback(limit);
}

} // namespace cowsliprock
