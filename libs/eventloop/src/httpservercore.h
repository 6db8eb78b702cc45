#pragma once

#include "connectionregistry.h"

#include <eventloop/asio.h>
#include <eventloop/eventloop.h>
#include <eventloop/httpserver.h>

#include <array>
#include <cstddef>
#include <memory>

namespace cowsliprock {

/// State that a server shares with its sessions.
class HttpServerCore : public std::enable_shared_from_this<HttpServerCore>
{
public:
    HttpServerCore(EventLoop &eventLoop, HttpServer::Handler requestHandler);

    void acceptNext();

    /// Starts the next accept() if it was suspended because no connection could be evicted.
    void resumeAccepting();

    /// Starts \p phase of \p entry. TimePoint::max() means no deadline.
    void enter(ConnectionRegistry::Entry &entry, ConnectionPhase phase, TimePoint since,
               TimePoint deadline);

    /// Evicts connections while they are in \p last or an earlier phase.
    void evictThrough(ConnectionPhase last);

    void report(HttpLimit limit) const;

    /// Read buffer of all sessions. Its content is used before the next event is handled.
    static constexpr std::size_t inputBytes = 16UL * 1024UL;
    std::array<char, inputBytes> input{};

    EventLoop &loop;
    HttpServer::Handler handler;
    std::function<void(HttpLimit)> limitCallback;
    boost::asio::ip::tcp::acceptor acceptor;
    HttpServer::Limits limits;
    std::shared_ptr<ByteBudget> budget;
    ConnectionRegistry registry;
    std::size_t connections = 0;
    bool draining = false;
    bool closed = false;

private:
    void accepted(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] bool makeRoom(std::size_t maxConnections);
    void startDeadlineTimer();
    void expireConnections();

    boost::asio::steady_timer m_deadlineTimer;
    TimePoint m_timerEnd = TimePoint::max();
    bool m_acceptSuspended = false;
};

} // namespace cowsliprock
