#pragma once

#include <eventloop/http.h>

#include <cstdint>
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

    /// Sends one request. \p done is called exactly once, never from within call().
    /// A failure closes the idle connections to the peer, since they may be dead as well.
    void call(HttpCall request, Done done);

    [[nodiscard]] std::uint64_t connectionsOpened() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock
