#include <eventloop/httpclient.h>

#include "socketoptions.h"

#include <eventloop/asio.h>
#include <eventloop/eventloop.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <map>
#include <optional>

namespace cowsliprock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Idle connections kept for each peer.
constexpr std::size_t maxIdlePerPeer = 16;
constexpr std::size_t maxAnswerBytes = 64UL * 1024UL * 1024UL;

class Connection;

} // namespace

struct HttpClient::State
{
    explicit State(EventLoop &eventLoop)
        : loop(eventLoop)
    { }

    EventLoop &loop;
    std::map<SocketAddress, std::vector<std::shared_ptr<Connection>>> idle;
    std::uint64_t opened = 0;
    bool closed = false;

    void release(const SocketAddress &peer, std::shared_ptr<Connection> connection);
    void forget(const SocketAddress &peer);
};

namespace {

/// One TCP connection that serves one call at a time.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &context, SocketAddress peer)
        : m_stream(context)
        , m_peer(std::move(peer))
    { }

    using Ended = std::function<void(HttpOutcome, bool reusable)>;

    void start(HttpCall call, Ended ended)
    {
        m_ended = std::move(ended);
        m_request = {};
        m_request.method_string(call.method);
        m_request.target(call.target);
        m_request.version(11);
        m_request.set(http::field::host, m_peer.text());
        for (const auto &[name, value] : call.headers)
            m_request.set(name, value);
        if (!call.body.empty())
            m_request.set(http::field::content_type, "application/json");
        m_request.body() = std::move(call.body);
        m_request.prepare_payload();
        m_sent = false;
        m_stream.expires_after(call.timeout);
        if (m_connected)
            write();
        else
            connect();
    }

private:
    void connect()
    {
        boost::system::error_code error;
        const auto ip = asio::ip::make_address_v4(m_peer.ip, error);
        if (error) {
            fail(error);
            return;
        }
        m_stream.async_connect(
            asio::ip::tcp::endpoint(ip, m_peer.port),
            [self = shared_from_this()](const boost::system::error_code &failure) {
                if (failure) {
                    self->fail(failure);
                    return;
                }
                self->m_connected = true;
                configureSocket(self->m_stream.socket());
                self->write();
            });
    }

    void write()
    {
        m_sent = true;
        http::async_write(m_stream, m_request,
                          [self = shared_from_this()](const boost::system::error_code &failure,
                                                      std::size_t /*bytes*/) {
                              if (failure)
                                  self->fail(failure);
                              else
                                  self->read();
                          });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(maxAnswerBytes);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](const boost::system::error_code &failure,
                                                     std::size_t /*bytes*/) {
                             if (failure)
                                 self->fail(failure);
                             else
                                 self->succeed();
                         });
    }

    void succeed()
    {
        auto message = m_parser->release();
        const bool reusable = message.keep_alive();
        // An idle connection has no deadline.
        m_stream.expires_never();
        HttpAnswer answer{ message.result_int(), std::move(message.body()) };
        end(std::move(answer), reusable);
    }

    void fail(const boost::system::error_code &error)
    {
        HttpFailure failure;
        failure.sent = m_sent;
        failure.timedOut = error == beast::error::timeout;
        failure.detail = error.message();
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
        end(std::move(failure), false);
    }

    void end(HttpOutcome outcome, bool reusable)
    {
        const Ended ended = std::move(m_ended);
        m_ended = nullptr;
        ended(std::move(outcome), reusable);
    }

    beast::tcp_stream m_stream;
    SocketAddress m_peer;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Ended m_ended;
    bool m_connected = false;
    bool m_sent = false;
};

} // namespace

void HttpClient::State::release(const SocketAddress &peer, std::shared_ptr<Connection> connection)
{
    auto &list = idle[peer];
    if (!closed && list.size() < maxIdlePerPeer)
        list.push_back(std::move(connection));
}

void HttpClient::State::forget(const SocketAddress &peer)
{
    idle.erase(peer);
}

HttpClient::HttpClient(EventLoop &loop)
    : m_state(std::make_shared<State>(loop))
{ }

HttpClient::~HttpClient()
{
    m_state->closed = true;
    m_state->idle.clear();
}

void HttpClient::call(HttpCall request, Done done)
{
    const auto &state = m_state;
    std::shared_ptr<Connection> connection;
    const SocketAddress peer = request.peer;
    if (auto entry = state->idle.find(peer);
        entry != state->idle.end() && !entry->second.empty() && !request.freshConnection) {
        connection = std::move(entry->second.back());
        entry->second.pop_back();
    } else {
        connection = std::make_shared<Connection>(state->loop.context(), peer);
        ++state->opened;
    }
    auto &reference = *connection;
    reference.start(std::move(request),
                    [state, peer, connection = std::move(connection),
                     done = std::move(done)](HttpOutcome outcome, bool reusable) {
                        if (std::holds_alternative<HttpFailure>(outcome))
                            state->forget(peer);
                        else if (reusable)
                            state->release(peer, connection);
                        if (!state->closed)
                            done(std::move(outcome));
                    });
}

std::uint64_t HttpClient::connectionsOpened() const noexcept
{
    return m_state->opened;
}

} // namespace cowsliprock
