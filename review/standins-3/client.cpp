#include "client.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

bool await(int handle, short events, Clock::time_point deadline)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    pollfd entry{ handle, events, 0 };
    return left > 0 && poll(&entry, 1, static_cast<int>(left)) == 1;
}

/// Body length of a response whose header section ends at \p end; -1 if it is not stated.
long lengthOf(const std::string &text, std::size_t end)
{
    constexpr const char *name = "content-length:";
    for (std::size_t line = 0; line < end; line = text.find("\r\n", line) + 2) {
        if (strncasecmp(text.c_str() + line, name, std::strlen(name)) == 0)
            return std::atol(text.c_str() + line + std::strlen(name));
    }
    return -1;
}

} // namespace

Connection::Connection(const std::string &address)
    : m_handle(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
    const auto colon = address.find(':');
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    // send() waits until the connection is established.
    static_cast<void>(connect(m_handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)));
}

Connection::~Connection()
{
    close(m_handle);
}

Answer Connection::send(const std::string &method, const std::string &target,
                        const std::vector<std::string> &headers, const std::string &body,
                        std::chrono::milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &header : headers)
        text += header + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    for (std::size_t sent = 0; sent < text.size();) {
        if (!await(m_handle, POLLOUT, deadline))
            return { 0, "", "no connection in time" };
        const auto count = ::send(m_handle, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count > 0)
            sent += static_cast<std::size_t>(count);
        else if (errno != EAGAIN)
            return { 0, "", "connection refused or broken" };
    }
    std::string answer;
    char bytes[4096];
    while (await(m_handle, POLLIN, deadline)) {
        const auto count = recv(m_handle, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return { 0, "", "connection broken" };
        answer.append(bytes, static_cast<std::size_t>(count));
        const auto end = answer.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        const auto length = lengthOf(answer, end);
        if (length >= 0 && answer.size() >= end + 4 + static_cast<std::size_t>(length))
            return { std::atoi(answer.c_str() + std::strlen("HTTP/1.1 ")), answer.substr(end + 4),
                     "" };
    }
    return { 0, "", "no answer in time" };
}

Answer request(const std::string &address, const std::string &method, const std::string &target,
               const std::vector<std::string> &headers, const std::string &body,
               std::chrono::milliseconds timeout)
{
    return Connection(address).send(method, target, headers, body, timeout);
}

} // namespace review
