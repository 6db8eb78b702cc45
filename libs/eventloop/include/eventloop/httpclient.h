#pragma once

#include <eventloop/http.h>

#include <functional>
#include <memory>

namespace cowsliprock {

class EventLoop;

/// HTTP/1.1 client with a pool of kept connections for each peer.
/// All members and callbacks run in the loop's thread.
class HttpClient
{
public:
    using Done = std::function<void(HttpOutcome)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends one request. \p done is called once, never from within call(); a second time if the
    /// answer comes within HttpCall::lateTime after the timeout.
    /// A failure closes the idle connections to the peer, since they may be dead as well; after a
    /// timeout they are only set aside until the late answer shows that the peer is slow.
    void call(HttpCall request, Done done);

    [[nodiscard]] const HttpTraffic &traffic() const noexcept;

private:
    struct State;
    struct PendingCall;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock
