#pragma once

#include <eventloop/bytebudget.h>
#include <eventloop/http.h>
#include <eventloop/httplimits.h>

#include <base/error.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cowsliprock {

class EventLoop;
class HttpServerCore;

/// A received request.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::string host;
    std::string body;
    HttpHeaders headers;

    /// Value of the header \p name, which is matched case-insensitively.
    [[nodiscard]] std::optional<std::string> header(const std::string &name) const;
};

struct HttpServerResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
    std::string contentType = "application/json";
};

/// HTTP/1.1 server on one listening socket. All members run on the event loop's thread.
class HttpServer
{
public:
    using Respond = std::function<void(HttpServerResponse)>;
    using Handler = std::function<void(const HttpRequest &, Respond)>;

    using Limits = HttpServerLimits;

    HttpServer(EventLoop &loop, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and listens. Port 0 selects a free port.
    [[nodiscard]] Result<SocketAddress> listen(const SocketAddress &address, const Limits &limits);

    /// Makes this server share \p budget with others. Must be called before listen(); without it
    /// the bytes of all connections together are not limited.
    void setBudget(std::shared_ptr<ByteBudget> budget);

    /// Changes the limits. Those of messages apply from the next message on.
    void setLimits(const Limits &limits);

    /// Sets the callback for each message and connection that exceeds a limit.
    void onLimit(std::function<void(HttpLimit)> action);

    /// Closes each connection after its next response.
    void drain();

    /// Stops accepting connections and closes those on which no request has started.
    void closeIdle();

    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    std::shared_ptr<HttpServerCore> m_core;
};

} // namespace cowsliprock
