#pragma once

#include <base/time.h>

#include <httplib.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace cowsliprock {

/// Limits of one HTTP exchange.
struct ExchangeLimits
{
    std::chrono::steady_clock::time_point deadline; ///< Of the entire exchange.
    TimePoint validUntil = TimePoint::max();        ///< Nothing is written from this time on.
    std::size_t maxAnswerBytes = std::size_t{ 64 } << 20U;
    int cancelDescriptor = -1; ///< The exchange is aborted once this descriptor is readable.
};

/// Byte stream of one HTTP exchange on a connected socket. Does not own the socket.
///
/// Writes to the socket are non-blocking, and validUntil is checked immediately before each, so
/// that no wait can separate the check from the write. Reads are buffered and bounded by the
/// deadline.
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

    /// True if validUntil passed before the request was sent completely.
    [[nodiscard]] bool expired() const noexcept;

    /// True if the operating system accepted the complete request. The library starts to read only
    /// after it has written the complete request.
    [[nodiscard]] bool requestSent() const noexcept { return m_readStarted && !m_respondedEarly; }

    /// True if the peer responded before the request was complete. The rest of the request was then
    /// discarded.
    [[nodiscard]] bool respondedEarly() const noexcept { return m_respondedEarly; }

    /// True if a read reached the end of the stream because the peer had closed the connection.
    [[nodiscard]] bool endOfStream() const noexcept { return m_endOfStream; }

    /// True if the last bytes that were read are an empty line, which ends a chunked body.
    [[nodiscard]] bool atEmptyLine() const noexcept;

    [[nodiscard]] std::size_t bytesRead() const noexcept { return m_bytesRead; }

private:
    [[nodiscard]] bool fill();
    [[nodiscard]] bool hasResponseData() const noexcept;

    socket_t m_socket;
    const Clock &m_clock;
    ExchangeLimits m_limits;
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::string m_tail; ///< The last four bytes that were read, or fewer.
    std::size_t m_bytesRead = 0;
    bool m_readStarted = false;
    bool m_respondedEarly = false;
    bool m_endOfStream = false;
};

} // namespace cowsliprock
