#include <eventloop/httpserver.h>

#include "socketoptions.h"

#include <eventloop/asio.h>
#include <eventloop/eventloop.h>
#include <eventloop/listen.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <map>
#include <utility>

namespace cowsliprock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpServer::State
{
    State(EventLoop &eventLoop, Handler requestHandler)
        : loop(eventLoop)
        , handler(std::move(requestHandler))
        , acceptor(eventLoop.context())
    { }

    EventLoop &loop;
    Handler handler;
    asio::ip::tcp::acceptor acceptor;
    Limits limits;
    std::size_t connections = 0;
    /// Callbacks that close connections waiting for a request, by session.
    std::map<const void *, std::function<void()>> closeWhenIdle;
    bool draining = false;
    bool closed = false;
};

namespace {

/// Delay before accept() is retried after a failure, such as running out of file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{ 50 };

/// Maximum time for writing a response, so that clients that do not read it are disconnected.
constexpr std::chrono::seconds writeTimeout{ 10 };

/// A client connection, which handles one request at a time.
template <typename State>
class Session : public std::enable_shared_from_this<Session<State>>
{
public:
    Session(std::shared_ptr<State> state, asio::ip::tcp::socket socket)
        : m_state(std::move(state))
        , m_stream(std::move(socket))
        , m_buffer(m_state->limits.headerBytes)
    {
        ++m_state->connections;
    }

    ~Session() { --m_state->connections; }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_state->limits.headerBytes));
        m_parser->body_limit(m_state->limits.bodyBytes);
        m_stream.expires_after(m_state->limits.idle);
        m_state->closeWhenIdle[this] = [this] { closeIfIdle(); };
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = this->shared_from_this()](const boost::system::error_code &error,
                                                           std::size_t /*bytes*/) {
                             self->m_state->closeWhenIdle.erase(self.get());
                             if (!error)
                                 self->handle();
                             else
                                 self->rejectIfMalformed(error);
                         });
    }

private:
    void closeIfIdle()
    {
        if (m_parser->got_some() || m_buffer.size() > 0)
            return;
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
    }

    void handle()
    {
        m_stream.expires_never();
        auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message)
            request.headers.emplace_back(std::string(field.name_string()),
                                         std::string(field.value()));
        request.host = request.header("Host").value_or("");
        request.body = std::move(message.body());
        m_state->handler(request, [self = this->shared_from_this()](HttpServerResponse reply) {
            self->write(std::move(reply));
        });
    }

    void rejectIfMalformed(const boost::system::error_code &error)
    {
        if (error == http::error::end_of_stream || error == beast::error::timeout
            || error.category() != http::make_error_code(http::error::bad_target).category()) {
            return;
        }
        m_keepAlive = false;
        write(HttpServerResponse{ rejectionStatus(error), {}, "{}" });
    }

    static unsigned rejectionStatus(const boost::system::error_code &error)
    {
        if (error == http::error::body_limit)
            return 413;
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return 431;
        return 400;
    }

    void write(HttpServerResponse reply)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(reply.status);
        m_response.set(http::field::content_type, reply.contentType);
        for (const auto &[name, value] : reply.headers)
            m_response.set(name, value);
        m_response.keep_alive(m_keepAlive && !m_state->draining);
        m_response.body() = std::move(reply.body);
        m_response.prepare_payload();
        m_stream.expires_after(writeTimeout);
        http::async_write(m_stream, m_response,
                          [self = this->shared_from_this()](const boost::system::error_code &error,
                                                            std::size_t /*bytes*/) {
                              if (!error)
                                  self->afterWrite();
                          });
    }

    void afterWrite()
    {
        if (m_response.keep_alive() && !m_state->closed) {
            read();
            return;
        }
        boost::system::error_code ignored;
        m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    std::shared_ptr<State> m_state;
    beast::tcp_stream m_stream;
    /// The parser consumes trailers and chunk extensions only when they are complete, and has no
    /// limit for them, so the buffer is limited.
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_keepAlive = true;
};

template <typename State>
void acceptNext(const std::shared_ptr<State> &state)
{
    state->acceptor.async_accept(
        [state](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted || !state->acceptor.is_open())
                return;
            if (error) {
                state->loop.after(acceptRetryDelay, [state] { acceptNext(state); });
                return;
            }
            acceptNext(state);
            configureSocket(socket);
            std::make_shared<Session<State>>(state, std::move(socket))->read();
        });
}

} // namespace

std::optional<std::string> HttpRequest::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (beast::iequals(key, name))
            return value;
    }
    return std::nullopt;
}

HttpServer::HttpServer(EventLoop &loop, Handler handler)
    : m_state(std::make_shared<State>(loop, std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    m_state->closed = true;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

Result<SocketAddress> HttpServer::listen(const SocketAddress &address, const Limits &limits)
{
    m_state->limits = limits;
    auto bound = listenOn(m_state->acceptor, address, "http.listen");
    if (bound.has_value())
        acceptNext(m_state);
    return bound;
}

void HttpServer::drain()
{
    m_state->draining = true;
}

void HttpServer::closeIdle()
{
    m_state->draining = true;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    // Safe while iterating: the pending reads, which modify the map, end later from the loop.
    for (const auto &[session, close] : m_state->closeWhenIdle)
        close();
}

std::size_t HttpServer::connections() const noexcept
{
    return m_state->connections;
}

} // namespace cowsliprock
