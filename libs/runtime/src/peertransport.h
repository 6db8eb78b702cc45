#pragma once

#include "bodystore.h"

#include <base/error.h>
#include <base/metrics.h>
#include <base/ring.h>
#include <kernel/messages.h>
#include <kernel/serialization.h>
#include <kernel/settings.h>

#include <functional>
#include <map>
#include <memory>
#include <thread>

namespace cowsliprock {

/// A message on its way to a peer, with the body that the kernel referred to.
struct OutgoingMessage
{
    DaemonName to;
    Envelope envelope;
    BodyPointer body;
};

/// Sends and receives messages between daemons over nng push/pull sockets.
/// A message that cannot be sent at once is dropped and counted; its sender times out.
class PeerTransport
{
public:
    struct Builder
    {
        std::string listenAddress; ///< "host:port"
        std::vector<PeerAddress> peers;
        std::size_t largestMessage = 0; ///< Bytes; larger messages are rejected by nng.
        std::size_t ringSize = 0;
        Metrics *metrics = nullptr;
        /// Called in the receiving thread.
        std::function<void(Envelope)> received;

        [[nodiscard]] Result<std::unique_ptr<PeerTransport>> build() const;
    };

    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Thread-safe. Returns false when the ring is full.
    bool send(OutgoingMessage message) { return m_outgoing.tryPush(std::move(message)); }

private:
    struct Sockets;
    explicit PeerTransport(const Builder &builder);
    Result<void> open(const Builder &builder);
    void sendLoop();
    void receiveLoop();

    std::unique_ptr<Sockets> m_sockets;
    BoundedRing<OutgoingMessage> m_outgoing;
    Metrics &m_metrics;
    std::function<void(Envelope)> m_received;
    std::atomic<bool> m_stopping{ false };
    std::thread m_sender;
    std::thread m_receiver;
};

} // namespace cowsliprock
