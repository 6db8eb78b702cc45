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

/// A message queued for a peer, with the body that the message refers to by its key.
struct OutgoingMessage
{
    DaemonName to;
    Envelope envelope;
    BodyPointer body;
};

/// Exchanges messages with the other daemons over nng push/pull sockets.
/// A message that cannot be sent immediately is dropped and counted; the sender times out.
class PeerTransport
{
public:
    struct Builder
    {
        std::string listenAddress; ///< "host:port"
        std::vector<PeerAddress> peers;
        std::size_t maxMessageBytes = 0; ///< Larger messages are rejected by nng.
        std::size_t ringSize = 0;        ///< Capacity for outgoing messages.
        Metrics *metrics = nullptr;
        /// Called in the receiving thread for each decoded message.
        std::function<void(Envelope)> onMessage;

        /// Opens the sockets and starts the sending and the receiving thread.
        [[nodiscard]] Result<std::unique_ptr<PeerTransport>> build() const;
    };

    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Queues a message. Returns false if the ring is full. Thread-safe.
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
    std::function<void(Envelope)> m_onMessage;
    std::atomic<bool> m_stopping{ false };
    std::thread m_sender;
    std::thread m_receiver;
};

} // namespace cowsliprock
