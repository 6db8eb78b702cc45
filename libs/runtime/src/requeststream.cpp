#include "requeststream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace cowsliprock {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool waitFor(socket_t socket, short events, steady_clock::time_point deadline)
{
    for (;;) {
        const auto left = std::chrono::ceil<milliseconds>(deadline - steady_clock::now()).count();
        if (left <= 0)
            return false;
        pollfd state{ socket, events, 0 };
        const int ready = ::poll(&state, 1, static_cast<int>(left));
        if (ready >= 0 || errno != EINTR)
            return ready > 0;
    }
}

} // namespace

RequestStream::RequestStream(socket_t socket, const BoundedHttpLimits &limits,
                             std::atomic<std::size_t> &totalBytes)
    : m_socket(socket)
    , m_limits(limits)
    , m_totalBytes(totalBytes)
{ }

RequestStream::~RequestStream()
{
    releaseBytes();
}

void RequestStream::releaseBytes()
{
    m_totalBytes -= m_messageBytes;
    m_messageBytes = 0;
}

bool RequestStream::startMessage(milliseconds timeout)
{
    releaseBytes();
    m_headerLines = 0;
    m_lineBytes = 0;
    m_headerDone = false;
    m_refused = false;
    m_writeStart = {};
    if (m_begin == m_end && !waitFor(m_socket, POLLIN, steady_clock::now() + timeout))
        return false;
    m_messageStart = steady_clock::now();
    return true;
}

bool RequestStream::is_readable() const
{
    const auto timeout = m_headerDone ? m_limits.messageTimeout : m_limits.headerTimeout;
    const auto deadline =
        std::min(m_messageStart + timeout, steady_clock::now() + m_limits.readTimeout);
    return m_begin < m_end || waitFor(m_socket, POLLIN, deadline);
}

bool RequestStream::is_writable() const
{
    return waitFor(m_socket, POLLOUT, steady_clock::now() + m_limits.writeTimeout);
}

bool RequestStream::fill()
{
    if (!is_readable())
        return false;
    const auto received = ::recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
    m_begin = 0;
    m_end = received > 0 ? static_cast<std::size_t>(received) : 0;
    return received > 0;
}

ssize_t RequestStream::read(char *target, size_t size)
{
    if (m_begin == m_end && !fill())
        return -1;
    const std::size_t bytes = std::min(size, m_end - m_begin);
    if (!count(m_buffer.data() + m_begin, bytes))
        return -1;
    std::memcpy(target, m_buffer.data() + m_begin, bytes);
    m_begin += bytes;
    return static_cast<ssize_t>(bytes);
}

bool RequestStream::count(const char *bytes, std::size_t size)
{
    m_messageBytes += size;
    m_totalBytes += size;
    m_refused = m_messageBytes > m_limits.messageBytes || m_totalBytes > m_limits.totalBytes;
    if (m_refused)
        return false;
    return m_headerDone || countHeader(bytes, size);
}

/// The library reads the header section byte by byte, so that it does not read beyond its end.
bool RequestStream::countHeader(const char *bytes, std::size_t size)
{
    for (std::size_t index = 0; index < size && !m_headerDone; ++index) {
        if (bytes[index] == '\n') {
            ++m_headerLines;
            m_headerDone = m_lineBytes == 0 && m_headerLines > 1;
            m_lineBytes = 0;
        } else if (bytes[index] != '\r') {
            ++m_lineBytes;
        }
    }
    return m_headerDone
        || (m_messageBytes <= m_limits.headerBytes && m_headerLines <= m_limits.headerLines);
}

ssize_t RequestStream::write(const char *source, size_t size)
{
    if (m_writeStart == SteadyTime())
        m_writeStart = steady_clock::now();
    // A client that has read the refusal may send its next request at once.
    if (m_refused)
        releaseBytes();
    // The library does not continue a partial write.
    std::size_t sent = 0;
    while (sent < size) {
        if (!waitFor(m_socket, POLLOUT, m_writeStart + m_limits.writeTimeout))
            return -1;
        const auto count =
            ::send(m_socket, source + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0)
            sent += static_cast<std::size_t>(count);
        else if (errno != EAGAIN && errno != EINTR)
            return -1;
    }
    return static_cast<ssize_t>(size);
}

void RequestStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

void RequestStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

} // namespace cowsliprock
