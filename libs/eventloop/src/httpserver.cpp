#include <eventloop/httpserver.h>

#include "httpservercore.h"

#include <eventloop/eventloop.h>
#include <eventloop/listen.h>

#include <boost/beast/core/string.hpp>

#include <utility>

namespace cowsliprock {

std::optional<std::string> HttpRequest::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (boost::beast::iequals(key, name))
            return value;
    }
    return std::nullopt;
}

HttpServer::HttpServer(EventLoop &loop, Handler handler)
    : m_core(std::make_shared<HttpServerCore>(loop, std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    m_core->closed = true;
    m_core->limitCallback = nullptr;
    boost::system::error_code ignored;
    m_core->acceptor.close(ignored);
}

Result<SocketAddress> HttpServer::listen(const SocketAddress &address, const Limits &limits)
{
    m_core->limits = limits;
    auto bound = listenOn(m_core->acceptor, address, "http.listen");
    if (bound.has_value())
        m_core->acceptNext();
    return bound;
}

void HttpServer::setBudget(std::shared_ptr<ByteBudget> budget)
{
    m_core->budget = std::move(budget);
}

void HttpServer::setLimits(const Limits &limits)
{
    m_core->limits = limits;
}

void HttpServer::onLimit(std::function<void(HttpLimit)> action)
{
    m_core->limitCallback = std::move(action);
}

void HttpServer::drain()
{
    m_core->draining = true;
}

void HttpServer::closeIdle()
{
    m_core->draining = true;
    boost::system::error_code ignored;
    m_core->acceptor.close(ignored);
    m_core->evictThrough(ConnectionPhase::Idle);
}

std::size_t HttpServer::connections() const noexcept
{
    return m_core->connections;
}

} // namespace cowsliprock
