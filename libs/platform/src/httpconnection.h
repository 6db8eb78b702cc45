#pragma once

#include "guardedstream.h"

#include <base/error.h>
#include <base/time.h>
#include <platform/body.h>

#include <httplib.h>

#include <chrono>
#include <optional>
#include <string>

namespace cowsliprock {

struct HttpRequest
{
    std::string method;
    std::string target;
    httplib::Headers headers;
    const Body *body = nullptr; ///< Must outlive the exchange. Null for methods without a body.
};

struct HttpResponse
{
    int status = 0;
    httplib::Headers headers;
    std::string bytes;

    [[nodiscard]] std::string header(const std::string &name) const;
};

/// Result of one request.
struct HttpExchange
{
    /// True if the peer cannot have acted on the request, since it was not sent completely.
    [[nodiscard]] bool provablyIncomplete() const noexcept { return !sent && !respondedEarly; }

    bool sent = false;                  ///< The operating system accepted the complete request.
    bool respondedEarly = false;        ///< The peer responded without waiting for the body.
    std::optional<HttpResponse> answer; ///< Set if a complete response was received.
    ErrorKind failure = ErrorKind::Unavailable; ///< Valid if there is no response.
    std::string detail;
};

struct ConnectionSettings
{
    Duration connectTimeout{ std::chrono::milliseconds(500) };
    bool keepAlive = true;
    bool limitUnacknowledged = false; ///< Sets TCP_USER_TIMEOUT to 2 s.
};

/// HTTP connection that never retransmits a request. It uses cpp-httplib to read and write messages
/// on a GuardedStream, but not the library's handling of broken connections.
class HttpConnection : private httplib::ClientImpl
{
public:
    /// \p address is "host:port".
    HttpConnection(const std::string &address, const ConnectionSettings &settings);
    ~HttpConnection() override = default;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Connects if necessary. Closes the connection unless a complete response was read.
    [[nodiscard]] HttpExchange exchange(const HttpRequest &request, const Clock &clock,
                                        const ExchangeLimits &limits);

    /// True if the connection is open and the peer has neither closed it nor sent unexpected data.
    [[nodiscard]] bool reusable() const noexcept;

    [[nodiscard]] const std::string &address() const noexcept { return m_address; }

private:
    [[nodiscard]] bool connect(std::string &detail);
    void close();
    void finish(HttpExchange &exchange, const GuardedStream &stream,
                const httplib::Request &request, httplib::Response &response, bool processed);

    std::string m_address;
    bool m_keepAlive = true;
};

} // namespace cowsliprock
