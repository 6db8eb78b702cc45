#pragma once

#include <base/time.h>

#include <httplib.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace cowsliprock {

/// Bounds of one exchange.
struct ExchangeLimits
{
    std::chrono::steady_clock::time_point deadline; ///< For the whole exchange.
    TimePoint validUntil = TimePoint::max();        ///< No byte is written from then on.
    std::size_t maxAnswerBytes = std::size_t{ 64 } << 20U;
    int cancelDescriptor = -1; ///< The exchange ends once this descriptor is readable.
};

/// Byte stream of one HTTP exchange on a connected socket. It does not own the socket.
///
/// Each write to the socket is non-blocking and directly preceded by the check of validUntil, so
/// that no wait lies between them. Reads are buffered and bounded by the deadline.
class GuardedStream : public httplib::Stream
{
public:
    GuardedStream(socket_t socket, const Clock &clock, const ExchangeLimits &limits);

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char *target, size_t size) override;
    ssize_t write(const char *source, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    [[nodiscard]] socket_t socket() const override { return m_socket; }

    /// True if validUntil passed before the request was sent whole.
    [[nodiscard]] bool expired() const noexcept;

    /// True if the operating system accepted the whole request: the library begins to read only
    /// after it has written everything.
    [[nodiscard]] bool requestSent() const noexcept { return m_readStarted && !m_answeredEarly; }

    /// True if the peer answered before the request was complete. The rest of it was dropped.
    [[nodiscard]] bool answeredEarly() const noexcept { return m_answeredEarly; }

    /// True if the reader asked for bytes after the peer had closed.
    [[nodiscard]] bool endSeen() const noexcept { return m_endSeen; }

    /// True if the last bytes that the reader took are an empty line, the end of a chunked body.
    [[nodiscard]] bool atEmptyLine() const noexcept;

    [[nodiscard]] std::size_t bytesRead() const noexcept { return m_bytesRead; }

private:
    [[nodiscard]] bool fill();
    [[nodiscard]] bool hasAnswer() const noexcept;

    socket_t m_socket;
    const Clock &m_clock;
    ExchangeLimits m_limits;
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::string m_tail; ///< Up to four bytes that the reader took last.
    std::size_t m_bytesRead = 0;
    bool m_readStarted = false;
    bool m_answeredEarly = false;
    bool m_endSeen = false;
};

} // namespace cowsliprock
