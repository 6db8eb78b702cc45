#include "rawclient.h"

#include <eventloop/asio.h>
#include <eventloop/eventloop.h>

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cowsliprock {

namespace {

constexpr int readTimeoutMilliseconds = 5000;
constexpr std::string_view lengthField = "Content-Length: ";

/// Length of the first response in \p text, or 0 if its header section is incomplete.
std::size_t responseLength(const std::string &text)
{
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    const auto field = text.find(lengthField);
    const auto body =
        field < end ? std::strtoul(text.c_str() + field + lengthField.size(), nullptr, 10) : 0;
    return end + 4 + body;
}

} // namespace

RawClient::RawClient(std::uint16_t port)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        throw std::runtime_error("cannot connect");
}

RawClient::~RawClient()
{
    ::close(m_socket);
}

bool RawClient::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::size_t RawClient::sendUntilAnswered(const std::string &bytes, std::size_t maxBytes)
{
    std::size_t sent = 0;
    while (sent < maxBytes && !readable(0)) {
        const auto count =
            ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        pollfd state{ m_socket, POLLIN | POLLOUT, 0 };
        if (::poll(&state, 1, readTimeoutMilliseconds) <= 0 || (state.revents & POLLERR) != 0)
            break;
    }
    return sent;
}

std::string RawClient::readUntilClosed()
{
    std::string text;
    std::array<char, 16384> buffer{};
    while (readable(readTimeoutMilliseconds)) {
        const auto count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
}

std::string RawClient::readResponse()
{
    std::string text;
    char byte = 0;
    while (readable(readTimeoutMilliseconds) && ::recv(m_socket, &byte, 1, 0) == 1) {
        text += byte;
        if (text.size() == responseLength(text))
            break;
    }
    return text;
}

bool RawClient::readable(int timeoutMilliseconds) const
{
    pollfd state{ m_socket, POLLIN, 0 };
    return ::poll(&state, 1, timeoutMilliseconds) > 0;
}

void RawClient::sleep(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

void runWithClient(EventLoop &loop, const std::function<void()> &client)
{
    std::thread thread([&] {
        client();
        boost::asio::post(loop.context(), [&loop] { loop.stop(); });
    });
    loop.run();
    thread.join();
}

} // namespace cowsliprock
