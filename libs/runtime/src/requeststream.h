#pragma once

#include "boundedhttpserver.h"

#include <httplib.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>

namespace cowsliprock {

/// Stream of a connection on which requests are read. Enforces the limits of each message with
/// deadlines that received bytes do not extend. Does not own the socket.
class RequestStream : public httplib::Stream
{
public:
    /// \p totalBytes counts the bytes of the messages of all connections.
    RequestStream(socket_t socket, const BoundedHttpLimits &limits,
                  std::atomic<std::size_t> &totalBytes);
    ~RequestStream() override;
    RequestStream(const RequestStream &) = delete;
    RequestStream &operator=(const RequestStream &) = delete;

    /// Waits for the first byte of a message. Returns false if there is none within \p timeout.
    [[nodiscard]] bool startMessage(std::chrono::milliseconds timeout);

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char *target, size_t size) override;
    ssize_t write(const char *source, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    [[nodiscard]] socket_t socket() const override { return m_socket; }

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    [[nodiscard]] bool fill();
    [[nodiscard]] bool count(const char *bytes, std::size_t size);
    [[nodiscard]] bool countHeader(const char *bytes, std::size_t size);
    void releaseBytes();

    socket_t m_socket;
    const BoundedHttpLimits &m_limits;
    std::atomic<std::size_t> &m_totalBytes;
    std::array<char, 4096> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    SteadyTime m_messageStart{};
    SteadyTime m_writeStart{};
    std::size_t m_messageBytes = 0;
    std::size_t m_headerLines = 0;
    std::size_t m_lineBytes = 0; ///< Of the current line of the header section, without CR.
    bool m_headerDone = false;
    bool m_refused = false; ///< The current message exceeds a limit.
};

} // namespace cowsliprock
