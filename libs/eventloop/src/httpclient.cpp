#include <eventloop/httpclient.h>

#include "responsereader.h"
#include "socketoptions.h"

#include <eventloop/responsetimes.h>
#include <eventloop/asio.h>
#include <eventloop/eventloop.h>

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace cowsliprock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Maximum number of idle connections kept per peer.
constexpr std::size_t maxIdlePerPeer = 16;

class Connection;

} // namespace

struct HttpClient::State
{
    State(EventLoop &eventLoop, const HttpClientLimits &clientLimits)
        : loop(eventLoop)
        , limits(clientLimits)
        , budget(std::make_shared<ByteBudget>(std::numeric_limits<std::size_t>::max()))
    { }

    EventLoop &loop;
    HttpClientLimits limits;
    std::shared_ptr<ByteBudget> budget;
    std::map<SocketAddress, std::vector<std::shared_ptr<Connection>>> idle;
    HttpTraffic traffic;
    ResponseTimes answerTimes; ///< Response times of adaptive calls.
    bool closed = false;

    [[nodiscard]] Duration timeoutOf(const HttpCall &call) const
    {
        return call.wait
            + (call.adaptive ? std::max(call.timeout, answerTimes.timeout()) : call.timeout);
    }

    void release(const SocketAddress &peer, std::shared_ptr<Connection> connection);
    /// Returns a usable idle connection, or null.
    std::shared_ptr<Connection> takeIdle(const SocketAddress &peer);
    /// Returns a usable idle connection on which the peer has shown this identity, or null. Keeps
    /// it in the pool.
    std::shared_ptr<Connection> findIdle(const SocketAddress &peer, const std::string &identity);
    /// Removes a connection from the pool.
    void remove(const SocketAddress &peer, const std::shared_ptr<Connection> &connection);
    void closeIdle(const SocketAddress &peer);
};

namespace {

/// A TCP connection that handles one call at a time.
class Connection : public std::enable_shared_from_this<Connection>, public ByteBudget::Holder
{
public:
    Connection(EventLoop &loop, SocketAddress peer, const HttpClientLimits &limits,
               std::shared_ptr<ByteBudget> budget)
        : m_loop(loop)
        , m_stream(loop.context())
        , m_timeoutTimer(loop.context())
        , m_peer(std::move(peer))
        , m_budget(std::move(budget))
        , m_reader(limits)
    { }

    ~Connection() override { m_budget->release(*this); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// The pending read reports the failure.
    void reclaimBytes() override
    {
        m_budget->release(*this);
        m_stream.close();
    }

    /// Whether an idle connection is unusable: the peer has closed it, or has sent what is not a
    /// response to a request.
    [[nodiscard]] bool stale()
    {
        char byte = 0;
        return recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0
            || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// \c ended is called at the end of a call. \c late is called before it if the call is reported
    /// as failed while a late response is still awaited.
    struct Listener
    {
        std::function<void(HttpOutcome, bool reusable)> ended;
        std::function<void(HttpFailure)> late;
    };

    void start(HttpCall call, Listener listener)
    {
        m_listener = std::move(listener);
        m_late = false;
        m_timeout = call.timeout;
        m_sendDeadline = m_loop.now() + call.timeout;
        m_receiveDeadline = m_loop.now() + std::max(call.maxDuration, call.timeout);
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
        m_bytesSent = 0;
        m_reader.start();
        m_stream.expires_after(call.timeout + call.lateResponseWindow);
        if (call.lateResponseWindow > Duration::zero())
            startTimeoutTimer();
        if (m_connected)
            write();
        else
            connect();
    }

    /// Identity of the process at the other end; empty if it has not shown any.
    [[nodiscard]] const std::string &identity() const noexcept { return *m_identity; }

    [[nodiscard]] std::size_t bytesSent() const noexcept { return m_bytesSent; }
    [[nodiscard]] std::size_t bytesReceived() const noexcept { return m_reader.bytes(); }

private:
    void startTimeoutTimer()
    {
        m_timeoutTimer.expires_after(m_timeout);
        m_timeoutTimer.async_wait([self = shared_from_this(),
                                   call = ++m_timedCall](const boost::system::error_code &error) {
            if (error || call != self->m_timedCall || !self->m_listener.ended)
                return;
            // The call is aborted: it must not be sent after it was reported as not sent.
            if (!self->m_sent) {
                self->fail(beast::error::timeout);
                return;
            }
            self->m_late = true;
            HttpFailure failure;
            failure.sent = true;
            failure.timedOut = true;
            failure.detail = "no response within the timeout";
            self->m_listener.late(std::move(failure));
        });
    }

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
        // If this process was paused, the caller may no longer be waiting for the request.
        if (m_loop.now() > m_sendDeadline) {
            fail(beast::error::timeout);
            return;
        }
        m_sent = true;
        http::async_write(m_stream, m_request,
                          [self = shared_from_this()](const boost::system::error_code &failure,
                                                      std::size_t bytes) {
                              self->m_bytesSent = bytes;
                              if (failure)
                                  self->fail(failure);
                              else
                                  self->read();
                          });
    }

    void read()
    {
        m_readStart = m_loop.now();
        readSome();
    }

    void readSome()
    {
        const auto space = m_reader.prepare();
        if (space.size() == 0) {
            fail(http::error::header_limit);
            return;
        }
        m_stream.async_read_some(
            space,
            [self = shared_from_this()](const boost::system::error_code &failure,
                                        std::size_t bytes) { self->received(failure, bytes); });
    }

    void received(boost::system::error_code failure, std::size_t bytes)
    {
        if (failure == asio::error::eof)
            failure = m_reader.endOfInput();
        else if (!failure)
            failure = m_reader.received(bytes);
        if (failure)
            fail(failure);
        else if (!withinBudget())
            fail(http::error::body_limit);
        else if (m_reader.done())
            succeed();
        else
            readMore();
    }

    /// Returns false if the budget has closed this connection.
    bool withinBudget()
    {
        m_budget->update(*this, m_reader.memory(), m_readStart, m_loop.now());
        return m_stream.socket().is_open();
    }

    void readMore()
    {
        // While the peer keeps sending, only the maximum duration of the call applies.
        if (m_loop.now() + m_timeout < m_receiveDeadline)
            m_stream.expires_after(m_timeout);
        readSome();
    }

    void succeed()
    {
        // What follows the response does not belong to a request.
        const bool reusable = m_reader.reusable();
        m_budget->release(*this);
        // An idle connection has no deadline.
        m_stream.expires_never();
        auto answer = m_reader.release();
        answer.late = m_late;
        answer.peerIdentity = m_identity;
        end(std::move(answer), reusable);
    }

    void fail(const boost::system::error_code &error)
    {
        // The timeout timer may already have ended the call.
        if (!m_listener.ended)
            return;
        HttpFailure failure;
        failure.sent = m_sent;
        failure.timedOut = error == beast::error::timeout;
        failure.detail = error.message();
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
        m_budget->release(*this);
        end(std::move(failure), false);
    }

    void end(HttpOutcome outcome, bool reusable)
    {
        m_timeoutTimer.cancel();
        const Listener listener = std::exchange(m_listener, {});
        listener.ended(std::move(outcome), reusable);
    }

    EventLoop &m_loop;
    beast::tcp_stream m_stream;
    asio::steady_timer m_timeoutTimer; ///< Reports the call as failed when it expires.
    SocketAddress m_peer;
    std::shared_ptr<ByteBudget> m_budget;
    ResponseReader m_reader;
    http::request<http::string_body> m_request;
    TimePoint m_readStart{};
    Listener m_listener;
    const std::shared_ptr<std::string> m_identity = std::make_shared<std::string>();
    Duration m_timeout{};
    TimePoint m_receiveDeadline{};
    TimePoint m_sendDeadline{};
    std::uint64_t m_timedCall = 0; ///< Identifies the call for which the timeout timer was started.
    bool m_late = false;
    std::size_t m_bytesSent = 0; ///< By the current call.
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

std::shared_ptr<Connection> HttpClient::State::takeIdle(const SocketAddress &peer)
{
    auto entry = idle.find(peer);
    while (entry != idle.end() && !entry->second.empty()) {
        auto connection = std::move(entry->second.back());
        entry->second.pop_back();
        if (!connection->stale())
            return connection;
    }
    return nullptr;
}

std::shared_ptr<Connection> HttpClient::State::findIdle(const SocketAddress &peer,
                                                        const std::string &identity)
{
    const auto entry = idle.find(peer);
    if (entry == idle.end())
        return nullptr;
    const auto found =
        std::find_if(entry->second.rbegin(), entry->second.rend(), [&identity](const auto &each) {
            return each->identity() == identity && !each->stale();
        });
    return found == entry->second.rend() ? nullptr : *found;
}

void HttpClient::State::remove(const SocketAddress &peer,
                               const std::shared_ptr<Connection> &connection)
{
    std::erase(idle[peer], connection);
}

void HttpClient::State::closeIdle(const SocketAddress &peer)
{
    idle.erase(peer);
}

/// A call with the connections whose reuse depends on its outcome.
struct HttpClient::PendingCall
{
    std::shared_ptr<State> state;
    SocketAddress peer;
    std::shared_ptr<Connection> connection;
    bool measured = false; ///< Whether the response time is recorded.
    Duration timeout{};
    TimePoint startTime{};
    /// Idle connections to the peer, withheld from reuse while its response is late.
    std::vector<std::shared_ptr<Connection>> withheld;
    Done done;
    bool reported = false;

    void late(HttpFailure failure)
    {
        reported = true;
        --state->traffic.inFlight;
        ++state->traffic.failures;
        if (auto idle = state->idle.extract(peer); !idle.empty())
            withheld = std::move(idle.mapped());
        if (!state->closed)
            done(std::move(failure));
    }

    void ended(HttpOutcome &outcome, bool reusable)
    {
        state->traffic.bytesSent += connection->bytesSent();
        state->traffic.bytesReceived += connection->bytesReceived();
        const auto *failure = std::get_if<HttpFailure>(&outcome);
        const bool failed = failure != nullptr;
        if (measured && !failed)
            state->answerTimes.observe(state->loop.now() - startTime);
        else if (measured && failure->timedOut)
            state->answerTimes.observe(timeout);
        if (!reported) {
            --state->traffic.inFlight;
            state->traffic.failures += failed ? 1 : 0;
        }
        if (failed && !reported)
            state->closeIdle(peer);
        if (!failed)
            keepConnections(reusable);
        withheld.clear();
        // A call that was already reported as failed is reported again only if it succeeds.
        if (!state->closed && (!failed || !reported))
            done(std::move(outcome));
    }

private:
    void keepConnections(bool reusable)
    {
        if (reusable)
            state->release(peer, connection);
        for (auto &other : withheld)
            state->release(peer, std::move(other));
    }
};

HttpClient::HttpClient(EventLoop &loop, const HttpClientLimits &limits)
    : m_state(std::make_shared<State>(loop, limits))
{ }

void HttpClient::setBudget(std::shared_ptr<ByteBudget> budget)
{
    m_state->budget = std::move(budget);
}

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
    if (!request.requiredIdentity.empty()) {
        connection = state->findIdle(peer, request.requiredIdentity);
        if (!connection) {
            failUnsent(std::move(done), "no connection to the required process");
            return;
        }
        state->remove(peer, connection);
    } else if (!request.freshConnection) {
        connection = state->takeIdle(peer);
    }
    if (!connection) {
        connection = std::make_shared<Connection>(state->loop, peer, state->limits, state->budget);
        ++state->traffic.connectionsOpened;
    }
    ++state->traffic.calls;
    ++state->traffic.inFlight;
    request.timeout = state->timeoutOf(request);
    auto pending = std::make_shared<PendingCall>();
    pending->state = state;
    pending->peer = peer;
    pending->connection = std::move(connection);
    pending->measured = request.adaptive && request.wait == Duration::zero();
    pending->timeout = request.timeout;
    pending->startTime = state->loop.now();
    pending->done = std::move(done);
    pending->connection->start(
        std::move(request),
        { [pending](HttpOutcome outcome, bool reusable) { pending->ended(outcome, reusable); },
          [pending](HttpFailure failure) { pending->late(std::move(failure)); } });
}

void HttpClient::failUnsent(Done done, const char *detail)
{
    m_state->loop.after(Duration::zero(), [state = m_state, detail, done = std::move(done)] {
        HttpFailure failure;
        failure.detail = detail;
        if (!state->closed)
            done(std::move(failure));
    });
}

TimePoint HttpClient::now() const
{
    return m_state->loop.now();
}

bool HttpClient::hasConnection(const SocketAddress &peer, const std::string &identity)
{
    return m_state->findIdle(peer, identity) != nullptr;
}

const HttpTraffic &HttpClient::traffic() const noexcept
{
    return m_state->traffic;
}

} // namespace cowsliprock
