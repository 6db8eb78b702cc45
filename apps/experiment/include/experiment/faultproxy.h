#pragma once

#include <base/error.h>
#include <base/time.h>
#include <eventloop/http.h>

#include <cstdint>
#include <memory>

namespace cowsliprock {
class EventLoop;
}

namespace cowsliprock::experiment {

enum class Direction { ToServer, ToClient };

/// Forwards TCP connections on loopback, and disturbs them. All members run in the loop's thread.
class FaultProxy
{
public:
    FaultProxy(EventLoop &loop, SocketAddress target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    [[nodiscard]] Result<SocketAddress> listen(const SocketAddress &address);

    /// Bytes in both directions arrive this much later.
    void delay(Duration delay) noexcept;

    /// Bytes in one direction are lost, on all connections.
    void cut(Direction direction, bool isCut) noexcept;

    /// Resets all open connections.
    void resetConnections();

    /// Open connections carry nothing any more and stay open; new ones work.
    void silenceConnections();

    [[nodiscard]] std::uint64_t bytes(Direction direction) const noexcept;
    [[nodiscard]] std::uint64_t connections() const noexcept;

private:
    struct State;
    class Link; ///< One forwarded connection.
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock::experiment
