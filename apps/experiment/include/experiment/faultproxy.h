#pragma once

#include <base/error.h>
#include <base/time.h>
#include <eventloop/http.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace cowsliprock {
class EventLoop;
}

namespace cowsliprock::experiment {

/// Direction of traffic through a proxy.
enum class Direction { ToServer, ToClient };

/// TCP proxy that injects faults into the connections it forwards. All members must be called in
/// the loop's thread.
class FaultProxy
{
public:
    FaultProxy(EventLoop &loop, SocketAddress target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// Starts to accept connections. Returns the bound address.
    [[nodiscard]] Result<SocketAddress> listen(const SocketAddress &address);

    /// Delays data in both directions, on all connections.
    void setDelay(Duration delay) noexcept;

    /// Drops data in one direction, on all connections, while \p dropping is set.
    void setDropping(Direction direction, bool dropping) noexcept;

    /// Closes all open connections with a TCP reset.
    void resetConnections();

    /// Drops all further data of the open connections without closing them. New connections are not
    /// affected.
    void silenceConnections();

    /// Returns true for connections to hold, given the client's end and the proxy's end.
    using HoldRule = std::function<bool(const SocketAddress &client, const SocketAddress &proxy)>;

    /// Holds the data of connections selected by \p rule in both directions, as a network partition
    /// does. The rule is called once for each open connection, and for each new one.
    void holdConnections(HoldRule rule);

    /// Forwards the held data, as TCP does when a partition heals. Connections that were opened
    /// while they were held are reset, because they had not been established.
    void releaseConnections();

    /// Bytes forwarded so far.
    [[nodiscard]] std::uint64_t bytes(Direction direction) const noexcept;
    /// Connections accepted so far.
    [[nodiscard]] std::uint64_t connections() const noexcept;

private:
    struct State;
    class Link; ///< One forwarded connection.
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock::experiment
