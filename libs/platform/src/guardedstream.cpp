#include "guardedstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace cowsliprock {

namespace {

constexpr std::size_t bufferBytes = 8192;

/// Waits until one of \p events is signalled. Returns the signalled events, or 0 at the deadline or
/// once \p cancelDescriptor is readable.
[[nodiscard]] short waitFor(int socket, short events, int cancelDescriptor,
                            std::chrono::steady_clock::time_point deadline) noexcept
{
    for (;;) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        // poll() ignores negative descriptors.
        std::array<pollfd, 2> descriptors{ { { socket, events, 0 },
                                             { cancelDescriptor, POLLIN, 0 } } };
        const int ready = ::poll(descriptors.data(), descriptors.size(),
                                 std::max<int>(0, static_cast<int>(left.count())));
        if (ready > 0)
            return descriptors[1].revents != 0 ? short{ 0 } : descriptors[0].revents;
        if (ready == 0 || errno != EINTR)
            return 0;
    }
}

void describe(const sockaddr_storage &address, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET6) {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(address);
        ::inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    } else {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(address);
        ::inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    }
    ip = text.data();
}

} // namespace

GuardedStream::GuardedStream(socket_t socket, const Clock &clock, const ExchangeLimits &limits)
    : m_socket(socket)
    , m_clock(clock)
    , m_limits(limits)
    , m_buffer(bufferBytes)
{ }

bool GuardedStream::is_readable() const
{
    return m_begin < m_end
        || waitFor(m_socket, POLLIN, m_limits.cancelDescriptor, m_limits.deadline) != 0;
}

bool GuardedStream::is_writable() const
{
    auto limit = m_limits.deadline;
    if (m_limits.validUntil != TimePoint::max()) {
        limit = std::min(limit,
                         std::chrono::steady_clock::now() + (m_limits.validUntil - m_clock.now()));
    }
    const short ready = waitFor(m_socket, POLLOUT | POLLIN, m_limits.cancelDescriptor, limit);
    if ((ready & (POLLIN | POLLHUP | POLLERR)) != 0)
        return hasResponseData();
    return (ready & POLLOUT) != 0;
}

bool GuardedStream::hasResponseData() const noexcept
{
    char byte = 0;
    return ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

ssize_t GuardedStream::read(char *target, size_t size)
{
    m_readStarted = true;
    if (m_begin == m_end && !fill())
        return m_endOfStream ? 0 : -1;
    const std::size_t count = std::min(size, m_end - m_begin);
    std::memcpy(target, m_buffer.data() + m_begin, count);
    m_begin += count;
    m_bytesRead += count;
    m_tail.append(target + (count - std::min<std::size_t>(count, 4)),
                  std::min<std::size_t>(count, 4));
    m_tail.erase(0, m_tail.size() - std::min<std::size_t>(m_tail.size(), 4));
    return static_cast<ssize_t>(count);
}

bool GuardedStream::fill()
{
    if (m_bytesRead >= m_limits.maxAnswerBytes)
        return false;
    for (;;) {
        if (waitFor(m_socket, POLLIN, m_limits.cancelDescriptor, m_limits.deadline) == 0)
            return false;
        const ssize_t count = ::recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            m_begin = 0;
            m_end = static_cast<std::size_t>(count);
            return true;
        }
        if (count == 0)
            m_endOfStream = true;
        if (count == 0 || (errno != EAGAIN && errno != EINTR))
            return false;
    }
}

ssize_t GuardedStream::write(const char *source, size_t size)
{
    for (;;) {
        // If the peer closed before the request was complete, the rest is not sent, so that the
        // request remains provably incomplete.
        if (!is_writable() || m_clock.now() >= m_limits.validUntil)
            return -1;
        if (hasResponseData()) {
            m_respondedEarly = true;
            return static_cast<ssize_t>(size);
        }
        const ssize_t count = ::send(m_socket, source, size, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0 || (errno != EAGAIN && errno != EINTR))
            return count;
    }
}

void GuardedStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (::getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        describe(address, ip, port);
}

void GuardedStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        describe(address, ip, port);
}

bool GuardedStream::expired() const noexcept
{
    return !requestSent() && m_clock.now() >= m_limits.validUntil;
}

bool GuardedStream::atEmptyLine() const noexcept
{
    return m_tail == "\r\n\r\n";
}

} // namespace cowsliprock
