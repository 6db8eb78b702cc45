#pragma once

#include <eventloop/http.h>

#include <base/error.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cowsliprock {

class EventLoop;

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

    struct Limits
    {
        std::size_t headerBytes = 16UL * 1024UL;
        std::size_t bodyBytes = 512UL * 1024UL;
        Duration idle{ std::chrono::seconds(60) };
    };

    HttpServer(EventLoop &loop, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and listens. Port 0 selects a free port.
    [[nodiscard]] Result<SocketAddress> listen(const SocketAddress &address, const Limits &limits);

    /// Closes each connection after its next response.
    void drain();

    /// Stops accepting connections and closes those on which no request has started.
    void closeIdle();

    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock
