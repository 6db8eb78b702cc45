#pragma once

#include <eventloop/http.h>

#include <base/error.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cowsliprock {

class EventLoop;

/// A request as read from a connection.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::string host;
    std::string body;
    HttpHeaders headers;

    /// Value of the header \p name, compared without case.
    [[nodiscard]] std::optional<std::string> header(const std::string &name) const;
};

struct HttpReply
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
    std::string contentType = "application/json";
};

/// HTTP/1.1 server on one listening socket. All members run in the loop's thread.
class HttpServer
{
public:
    using Respond = std::function<void(HttpReply)>;
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

    /// Binds and listens. Port 0 takes any free port.
    [[nodiscard]] Result<SocketAddress> listen(const SocketAddress &address, const Limits &limits);

    /// Closes each connection after its next answer.
    void drain();

    /// Accepts no more connections and closes those on which no request has begun.
    void closeIdle();

    /// Open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock
