#include "httpsession.h"

#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace cowsliprock {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Time and bytes for which input is discarded after a request was rejected. Closing a connection
/// with unread input resets it, and the client may lose the response.
constexpr std::chrono::milliseconds lingerTime{ 1000 };
constexpr std::size_t lingerBytes = 1024UL * 1024UL;

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServerCore> core, asio::ip::tcp::socket socket)
    : m_core(std::move(core))
    , m_socket(std::move(socket))
{
    ++m_core->connections;
}

HttpSession::~HttpSession()
{
    close();
}

void HttpSession::start()
{
    startNextMessage(ConnectionPhase::Unused);
}

void HttpSession::startNextMessage(ConnectionPhase phase)
{
    m_reader.reset();
    if (!m_unread.empty()) {
        // Pipelined requests take turns with the other connections.
        startMessage();
        enterReceiving();
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (self->m_open && self->phase() == ConnectionPhase::Receiving)
                self->handleInput({});
        });
        return;
    }
    const auto now = m_core->loop.now();
    m_core->enter(*this, phase, now, now + m_core->limits.idleTimeout);
    waitForInput();
}

void HttpSession::waitForInput()
{
    if (m_waiting || !m_open)
        return;
    m_waiting = true;
    m_socket.async_wait(asio::socket_base::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            self->m_waiting = false;
                            if (!error && self->m_open)
                                self->inputReady();
                        });
}

void HttpSession::inputReady()
{
    switch (phase()) {
    case ConnectionPhase::Closing:
        discardInput();
        return;
    case ConnectionPhase::Unused:
    case ConnectionPhase::Idle:
    case ConnectionPhase::Receiving:
        if (!readAvailable())
            waitForInput();
        return;
    case ConnectionPhase::Writing:
    case ConnectionPhase::Handling:
        return;
    }
}

bool HttpSession::readAvailable()
{
    boost::system::error_code error;
    const auto count = m_socket.read_some(asio::buffer(m_core->input), error);
    if (error == asio::error::would_block || error == asio::error::interrupted)
        return false;
    if (error == asio::error::eof && m_reader)
        reject({ 400, std::nullopt });
    else if (error)
        close();
    else
        handleInput({ m_core->input.data(), count });
    return !error;
}

bool HttpSession::readToEnd()
{
    while (m_open && phase() <= ConnectionPhase::Receiving && readAvailable()) { }
    return phase() > ConnectionPhase::Receiving;
}

void HttpSession::handleInput(std::string_view input)
{
    if (!m_reader)
        startMessage();
    const bool buffered = !m_unread.empty();
    if (buffered)
        m_unread.append(input);
    const auto [status, consumed] = m_reader->read(buffered ? m_unread : input);
    if (status == RequestReader::Status::Rejected) {
        reject(m_reader->rejection());
        return;
    }
    if (buffered)
        m_unread.erase(0, consumed);
    else
        m_unread = input.substr(consumed);
    if (m_unread.empty())
        freeUnread();
    if (status == RequestReader::Status::Complete) {
        finishMessage();
        return;
    }
    enterReceiving();
    updateBudget();
    waitForInput();
}

void HttpSession::startMessage()
{
    m_reader.emplace(m_core->limits);
    m_messageStart = m_core->loop.now();
}

/// The deadlines are absolute: they do not depend on when the last byte arrived.
void HttpSession::enterReceiving()
{
    const auto &limits = m_reader->limits();
    auto timeout = limits.messageTimeout;
    if (!m_reader->headerDone())
        timeout = std::min(timeout, limits.headerTimeout);
    m_core->enter(*this, ConnectionPhase::Receiving, m_messageStart, m_messageStart + timeout);
    m_core->resumeAccepting();
}

void HttpSession::finishMessage()
{
    m_core->enter(*this, ConnectionPhase::Handling, m_messageStart, TimePoint::max());
    updateBudget();
    // Requests may be completed while deadlines are checked or connections are evicted, where an
    // exception of the handler must not occur.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->handle(); });
}

void HttpSession::handle()
{
    m_keepAlive = m_reader->keepAlive();
    const HttpRequest request = m_reader->release();
    m_reader.reset();
    updateBudget();
    m_core->handler(request, [self = shared_from_this()](HttpServerResponse reply) {
        if (self->phase() == ConnectionPhase::Handling && !self->m_response)
            self->write(std::move(reply));
    });
}

void HttpSession::reject(const Rejection &rejection)
{
    if (rejection.limit)
        m_core->report(*rejection.limit);
    m_keepAlive = false;
    m_rejected = true;
    m_reader.reset();
    freeUnread();
    write(HttpServerResponse{ rejection.status, {}, "{}" });
}

void HttpSession::write(HttpServerResponse reply)
{
    auto &response = m_response.emplace();
    response.version(11);
    response.result(reply.status);
    response.set(http::field::content_type, reply.contentType);
    for (const auto &[name, value] : reply.headers)
        response.set(name, value);
    response.keep_alive(m_keepAlive && !m_core->draining);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    m_messageStart = m_core->loop.now();
    m_core->enter(*this, ConnectionPhase::Writing, m_messageStart,
                  m_messageStart + m_core->limits.writeTimeout);
    http::async_write(
        m_socket, response,
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t /*bytes*/) {
            if (self->m_open && error)
                self->close();
            else if (self->m_open)
                self->afterWrite();
        });
    updateBudget();
}

void HttpSession::afterWrite()
{
    const bool keepAlive = m_response->keep_alive() && !m_core->closed;
    m_response.reset();
    if (keepAlive) {
        startNextMessage(ConnectionPhase::Idle);
        updateBudget();
        m_core->resumeAccepting();
        return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (!m_rejected) {
        close();
        return;
    }
    updateBudget();
    const auto now = m_core->loop.now();
    m_core->enter(*this, ConnectionPhase::Closing, now, now + lingerTime);
    m_core->resumeAccepting();
    waitForInput();
}

void HttpSession::discardInput()
{
    boost::system::error_code error;
    m_discarded += m_socket.read_some(asio::buffer(m_core->input), error);
    if ((error && error != asio::error::would_block) || m_discarded > lingerBytes)
        close();
    else
        waitForInput();
}

void HttpSession::expire()
{
    switch (phase()) {
    case ConnectionPhase::Unused:
    case ConnectionPhase::Idle:
        // If this process was paused, a request may be waiting.
        if (!readAvailable() && m_open)
            closeFor(HttpLimit::IdleTimeout);
        return;
    case ConnectionPhase::Receiving:
        if (!readToEnd() && m_open) {
            reject(
                { 408,
                  m_reader->headerDone() ? HttpLimit::MessageTimeout : HttpLimit::HeaderTimeout });
        }
        return;
    case ConnectionPhase::Writing:
        closeFor(HttpLimit::WriteTimeout);
        return;
    case ConnectionPhase::Closing:
    case ConnectionPhase::Handling:
        close();
        return;
    }
}

void HttpSession::evict()
{
    // A request that has arrived completely is not lost.
    const bool idle = phase() == ConnectionPhase::Unused || phase() == ConnectionPhase::Idle;
    if (idle && readAvailable())
        return;
    if (phase() == ConnectionPhase::Receiving && readToEnd())
        return;
    close();
}

void HttpSession::reclaimBytes()
{
    closeFor(HttpLimit::TotalBytes);
}

/// Idle connections must not keep the memory of their last message.
void HttpSession::freeUnread()
{
    std::string().swap(m_unread);
}

void HttpSession::updateBudget()
{
    if (!m_open)
        return;
    std::size_t bytes = m_unread.empty() ? 0 : m_unread.capacity();
    if (m_reader)
        bytes += m_reader->memory();
    if (m_response)
        bytes += m_response->body().size();
    m_core->budget->update(*this, bytes, m_messageStart, m_core->loop.now(),
                           phase() != ConnectionPhase::Handling);
}

void HttpSession::closeFor(HttpLimit limit)
{
    m_core->report(limit);
    close();
}

void HttpSession::close()
{
    if (!std::exchange(m_open, false))
        return;
    --m_core->connections;
    m_core->registry.remove(*this);
    m_core->budget->release(*this);
    freeUnread();
    m_reader.reset();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_core->resumeAccepting();
}

} // namespace cowsliprock
