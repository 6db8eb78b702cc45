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
    Duration timeout{ std::chrono::seconds(1) };
    bool freshConnection = false; ///< Opens a connection even if an idle one exists.
};

struct HttpAnswer
{
    unsigned status = 0;
    std::string body;
};

/// A call that ended without an answer.
struct HttpFailure
{
    bool sent = false; ///< True if the peer may have read the request.
    bool timedOut = false;
    std::string detail;
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;

} // namespace cowsliprock
