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
    const Body *body = nullptr; ///< Outlives the exchange; null for methods without a body.
};

struct HttpAnswer
{
    int status = 0;
    httplib::Headers headers;
    std::string bytes;

    [[nodiscard]] std::string header(const std::string &name) const;
};

/// What became of one request.
struct HttpExchange
{
    /// Nothing was sent that a peer could have acted on.
    [[nodiscard]] bool provablyIncomplete() const noexcept { return !sent && !answeredEarly; }

    bool sent = false;                ///< The operating system accepted the whole request.
    bool answeredEarly = false;       ///< The peer answered before; it did not wait for the body.
    std::optional<HttpAnswer> answer; ///< A whole answer.
    ErrorKind failure = ErrorKind::Unavailable; ///< Without an answer.
    std::string detail;
};

struct ConnectionSettings
{
    Duration connectTimeout{ std::chrono::milliseconds(500) };
    bool keepAlive = true;
    bool boundUnacknowledged = false; ///< Sets TCP_USER_TIMEOUT to 2 s.
};

/// One HTTP connection that never sends a request twice. It uses the library's reading and writing
/// of messages on a stream of its own, and none of its handling of broken connections.
class HttpConnection : private httplib::ClientImpl
{
public:
    /// \p address is "host:port".
    HttpConnection(const std::string &address, const ConnectionSettings &settings);
    ~HttpConnection() override = default;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Connects if necessary. The connection is closed unless a whole answer was read.
    [[nodiscard]] HttpExchange exchange(const HttpRequest &request, const Clock &clock,
                                        const ExchangeLimits &limits);

    /// True if the connection is open, and the peer neither closed it nor sent anything more.
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
