#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cowsliprock {

/// TCP server that accepts one connection at a time and passes it to a script. The script works on
/// raw bytes, so it can violate HTTP.
class RawServer
{
public:
    explicit RawServer(std::function<void(int socket)> script)
        : m_script(std::move(script))
        , m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        if (::bind(m_socket, generic, length) != 0 || ::listen(m_socket, 16) != 0)
            std::abort();
        ::getsockname(m_socket, generic, &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }

    ~RawServer()
    {
        ::shutdown(m_socket, SHUT_RDWR);
        {
            // A client may keep its connection open beyond the lifetime of this server.
            const std::lock_guard lock(m_peerMutex);
            if (m_peer >= 0)
                ::shutdown(m_peer, SHUT_RDWR);
        }
        m_thread.join();
        ::close(m_socket);
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] int connections() const { return m_connections; }

    /// Reads until \p end was received or the peer closed the connection.
    static std::string readUntil(int socket, const std::string &end)
    {
        std::string bytes;
        char byte = 0;
        while (!bytes.ends_with(end) && ::recv(socket, &byte, 1, 0) == 1)
            bytes.push_back(byte);
        return bytes;
    }

    /// Reads until the peer closes the connection. Returns the number of bytes read.
    static std::size_t drain(int socket)
    {
        std::vector<char> buffer(65536);
        std::size_t total = 0;
        for (ssize_t count = 0; (count = ::recv(socket, buffer.data(), buffer.size(), 0)) > 0;)
            total += static_cast<std::size_t>(count);
        return total;
    }

    /// Waits until the peer closes the connection, without reading.
    static void waitForClose(int socket)
    {
        pollfd waiting{ socket, POLLRDHUP, 0 };
        ::poll(&waiting, 1, -1);
    }

    static void write(int socket, const std::string &bytes)
    {
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

private:
    void run()
    {
        for (int peer = 0; (peer = ::accept(m_socket, nullptr, nullptr)) >= 0;) {
            setPeer(peer);
            ++m_connections;
            m_script(peer);
            setPeer(-1);
            ::close(peer);
        }
    }

    void setPeer(int peer)
    {
        const std::lock_guard lock(m_peerMutex);
        m_peer = peer;
    }

    std::function<void(int)> m_script;
    std::mutex m_peerMutex;
    int m_peer = -1;
    int m_socket;
    int m_port = 0;
    std::atomic<int> m_connections{ 0 };
    std::thread m_thread;
};

} // namespace cowsliprock
