#pragma once

#include <base/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cowsliprock {

/// An IPv4 address with a port.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const SocketAddress &) const = default;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

/// Parses "IP:PORT". The port of the result is 0 if the text is malformed.
[[nodiscard]] SocketAddress parseSocketAddress(const std::string &text);

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpResponse
{
    unsigned status = 0;
    std::string body;
    bool late = false; ///< The call had already been reported as failed.
    /// Identity of the process that has answered on this connection, for
    /// HttpCall::requiredIdentity. Set by the caller; empty while unknown.
    std::shared_ptr<std::string> peerIdentity;
};

struct HttpCall
{
    SocketAddress peer;
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    Duration wait{};                             ///< How long the peer may delay its response.
    Duration timeout{ std::chrono::seconds(1) }; ///< In addition to the wait.
    /// Makes the timeout a minimum that grows with the response times of such calls.
    bool adaptive = false;
    /// Maximum duration of the call while the response keeps arriving. Zero means the timeout.
    Duration maxDuration{};
    /// After its timeout the call is reported as failed, but its connection is kept this long for
    /// a late response.
    Duration lateResponseWindow{};
    bool freshConnection = false; ///< Opens a new connection even if there is an idle one.
    /// If not empty, only a connection on which the peer has shown this identity is used, and the
    /// call fails if there is none; see HttpClient::hasConnection().
    std::string requiredIdentity;
};

/// A call that ended without a response.
struct HttpFailure
{
    bool sent = false; ///< True if the peer may have read the request.
    bool timedOut = false;
    std::string detail;
};

using HttpOutcome = std::variant<HttpResponse, HttpFailure>;

/// Statistics of a client since its creation.
struct HttpTraffic
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t inFlight = 0; ///< Calls that are waiting for a response.
};

} // namespace cowsliprock
