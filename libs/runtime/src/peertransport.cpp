#include "peertransport.h"

#include "messagebody.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <string_view>

namespace cowsliprock {

namespace {

constexpr int sendBufferMessages = 256;
constexpr nng_duration receiveTimeoutMs = 200; // Bounds the duration of a shutdown.
constexpr nng_duration maxReconnectIntervalMs = 1000;

Error transportError(std::string step, std::string peer, int code)
{
    return { ErrorKind::Unavailable, std::move(step), std::move(peer), nng_strerror(code) };
}

std::string url(const std::string &address)
{
    return "tcp://" + address;
}

} // namespace

/// The push socket for one peer. Must stay at the same address: it is the argument of nng
/// callbacks.
struct PushSocket
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::atomic<bool> connected{ false };

    static void onPipeEvent(nng_pipe, nng_pipe_ev pipeEvent, void *argument)
    {
        static_cast<PushSocket *>(argument)->connected = pipeEvent == NNG_PIPE_EV_ADD_POST;
    }
};

struct PeerTransport::Sockets
{
    nng_socket pull = NNG_SOCKET_INITIALIZER;
    std::map<DaemonName, PushSocket> push;

    Sockets() = default;
    Sockets(const Sockets &) = delete;
    Sockets &operator=(const Sockets &) = delete;
    ~Sockets()
    {
        nng_close(pull);
        for (auto &[name, peer] : push)
            nng_close(peer.socket);
    }
};

PeerTransport::PeerTransport(const Builder &builder)
    : m_sockets(std::make_unique<Sockets>())
    , m_outgoing(builder.ringSize)
    , m_metrics(*builder.metrics)
    , m_onMessage(builder.onMessage)
{ }

Result<std::unique_ptr<PeerTransport>> PeerTransport::Builder::build() const
{
    std::unique_ptr<PeerTransport> transport(new PeerTransport(*this));
    BOOST_OUTCOME_TRYV(transport->open(*this));
    transport->m_sender = std::thread([target = transport.get()] { target->sendLoop(); });
    transport->m_receiver = std::thread([target = transport.get()] { target->receiveLoop(); });
    return transport;
}

Result<void> PeerTransport::open(const Builder &builder)
{
    if (const int code = nng_pull0_open(&m_sockets->pull); code != 0)
        return transportError("peer.open", builder.listenAddress, code);
    nng_socket_set_ms(m_sockets->pull, NNG_OPT_RECVTIMEO, receiveTimeoutMs);
    nng_socket_set_size(m_sockets->pull, NNG_OPT_RECVMAXSZ, builder.maxMessageBytes);
    if (const int code =
            nng_listen(m_sockets->pull, url(builder.listenAddress).c_str(), nullptr, 0);
        code != 0)
        return transportError("peer.listen", builder.listenAddress, code);
    for (const auto &peer : builder.peers) {
        auto &target = m_sockets->push[peer.name];
        if (const int code = nng_push0_open(&target.socket); code != 0)
            return transportError("peer.open", peer.peerAddress, code);
        const nng_socket socket = target.socket;
        nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, &PushSocket::onPipeEvent, &target);
        nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, &PushSocket::onPipeEvent, &target);
        nng_socket_set_int(socket, NNG_OPT_SENDBUF, sendBufferMessages);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, maxReconnectIntervalMs);
        if (const int code =
                nng_dial(socket, url(peer.peerAddress).c_str(), nullptr, NNG_FLAG_NONBLOCK);
            code != 0)
            return transportError("peer.dial", peer.peerAddress, code);
    }
    return boost::outcome_v2::success();
}

PeerTransport::~PeerTransport()
{
    m_stopping = true;
    m_outgoing.close();
    if (m_sender.joinable())
        m_sender.join();
    if (m_receiver.joinable())
        m_receiver.join();
}

void PeerTransport::sendLoop()
{
    while (auto outgoing = m_outgoing.pop()) {
        auto &[to, envelope, body] = *outgoing;
        const auto found = m_sockets->push.find(to);
        if (found == m_sockets->push.end()) {
            m_metrics.count("peer.unknown");
            continue;
        }
        // Without a connection, nng would buffer the message and deliver it late.
        if (!found->second.connected) {
            m_metrics.count("peer.notConnected");
            continue;
        }
        setBody(envelope.message, *body);
        std::string bytes = encodeMessage(envelope);
        m_metrics.count("peer.bytesSent", bytes.size());
        m_metrics.count("peer.messagesSent");
        if (nng_send(found->second.socket, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) != 0)
            m_metrics.count("peer.dropped");
    }
}

void PeerTransport::receiveLoop()
{
    while (!m_stopping) {
        char *bytes = nullptr;
        std::size_t length = 0;
        if (const int code = nng_recv(m_sockets->pull, &bytes, &length, NNG_FLAG_ALLOC);
            code != 0) {
            if (code == NNG_ECLOSED)
                return;
            continue;
        }
        m_metrics.count("peer.bytesReceived", length);
        auto envelope = decodeMessage(std::string_view(bytes, length));
        nng_free(bytes, length);
        if (envelope.has_value())
            m_onMessage(std::move(envelope.value()));
        else
            m_metrics.count("peer.malformed");
    }
}

} // namespace cowsliprock
