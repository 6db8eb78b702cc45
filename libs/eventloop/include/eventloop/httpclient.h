#pragma once

#include <eventloop/bytebudget.h>
#include <eventloop/http.h>
#include <eventloop/httplimits.h>

#include <functional>
#include <memory>

namespace cowsliprock {

class EventLoop;

/// HTTP/1.1 client with a pool of persistent connections per peer.
/// All members and callbacks run on the event loop's thread.
class HttpClient
{
public:
    using Done = std::function<void(HttpOutcome)>;

    explicit HttpClient(EventLoop &loop, const HttpClientLimits &limits = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request. \p done is called once, but never from within call(), and a second time if
    /// the response arrives within HttpCall::lateResponseWindow after the timeout.
    /// A failure closes the idle connections to the peer, since they may be dead as well; after a
    /// timeout they are only withheld until a late response shows that the peer is merely slow.
    void call(HttpCall request, Done done);

    /// True if there is an idle connection on which the peer has shown this identity. No other
    /// process of the peer can receive what is sent on it, since the end of a process ends its
    /// connections.
    [[nodiscard]] bool hasConnection(const SocketAddress &peer, const std::string &identity);

    /// Time by the clock that timeouts are measured with, which counts pauses of the process.
    [[nodiscard]] TimePoint now() const;

    /// Makes this client share \p budget with others: calls fail if the incomplete responses of all
    /// of them exceed it. Must be called before call().
    void setBudget(std::shared_ptr<ByteBudget> budget);

    [[nodiscard]] const HttpTraffic &traffic() const noexcept;

private:
    /// Reports that a call was not sent.
    void failUnsent(Done done, const char *detail);

    struct State;
    struct PendingCall;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock
