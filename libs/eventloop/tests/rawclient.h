#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace cowsliprock {

class EventLoop;

/// Blocking TCP client for tests that sends arbitrary bytes. It must not run on the thread of the
/// event loop under test.
class RawClient
{
public:
    /// Connects to \p port on the loopback interface.
    explicit RawClient(std::uint16_t port);
    ~RawClient();
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    /// Returns false if the server has closed the connection.
    bool send(const std::string &bytes);

    /// Sends \p bytes repeatedly until the server answers or closes the connection, or \p maxBytes
    /// are sent. Returns the number of bytes sent.
    std::size_t sendUntilAnswered(const std::string &bytes, std::size_t maxBytes);

    /// Reads until the server closes the connection, for at most 5 s.
    std::string readUntilClosed();

    /// Reads one response with a Content-Length. Returns what was read if the connection ends.
    std::string readResponse();

    /// Waits until the server answers or closes the connection.
    [[nodiscard]] bool readable(int timeoutMilliseconds) const;

    static void sleep(std::chrono::milliseconds time);

private:
    int m_socket = -1;
};

/// Runs \p loop until \p client, which runs on a thread of its own, has ended.
void runWithClient(EventLoop &loop, const std::function<void()> &client);

} // namespace cowsliprock
