#pragma once

#include <base/time.h>

#include <cstdint>
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

struct HttpCall
{
    SocketAddress peer;
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    Duration wait{};                             ///< The peer may hold its answer back this long.
    Duration timeout{ std::chrono::seconds(1) }; ///< Beyond the wait.
    /// The timeout is the least one: it grows with the time that answers to such calls take.
    bool adaptive = false;
    /// While the answer keeps arriving the call may take this long in all. Zero: the timeout.
    Duration longest{};
    /// After its timeout the call is reported as failed, but its connection is kept this long for
    /// an answer that is only late.
    Duration lateTime{};
    bool freshConnection = false; ///< Opens a connection even if an idle one exists.
};

struct HttpAnswer
{
    unsigned status = 0;
    std::string body;
    bool late = false; ///< The call was reported as failed before.
};

/// A call that ended without an answer.
struct HttpFailure
{
    bool sent = false; ///< True if the peer may have read the request.
    bool timedOut = false;
    std::string detail;
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;

/// What a client has exchanged with its peers since it was created.
struct HttpTraffic
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t inFlight = 0; ///< Calls without an answer yet.
};

} // namespace cowsliprock
