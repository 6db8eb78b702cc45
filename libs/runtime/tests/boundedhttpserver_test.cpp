#include "boundedhttpserver.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

/// More than the socket buffers of both ends can hold.
constexpr std::size_t endlessBytes = 64UL * 1024UL * 1024UL;

class RawConnection
{
public:
    explicit RawConnection(int port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(
            ::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
            == 0);
    }
    ~RawConnection() { ::close(m_socket); }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    bool send(const std::string &bytes) const
    {
        return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(bytes.size());
    }

    /// Sends \p bytes until the server closes the connection. Returns the number of bytes sent.
    [[nodiscard]] std::size_t sendEndlessly(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < endlessBytes && send(bytes))
            sent += bytes.size();
        return sent;
    }

    [[nodiscard]] bool readable(int milliseconds) const
    {
        pollfd state{ m_socket, POLLIN, 0 };
        return ::poll(&state, 1, milliseconds) > 0;
    }

    [[nodiscard]] std::string receive() const
    {
        std::string text(4096, '\0');
        const auto count = readable(5000) ? ::recv(m_socket, text.data(), text.size(), 0) : 0;
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

private:
    int m_socket;
};

struct Fixture
{
    Fixture()
    {
        limits.messageBytes = 1024UL * 1024UL;
        limits.headerTimeout = 300ms;
        limits.messageTimeout = 300ms;
        server.setThreads(2);
        server.Post("/x", [this](const httplib::Request &request, httplib::Response &response) {
            ++handled;
            response.set_content(request.body, "text/plain");
        });
    }

    ~Fixture()
    {
        server.stop();
        if (thread.joinable())
            thread.join();
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    void listen()
    {
        server.setLimits(limits);
        port = server.bind_to_any_port("127.0.0.1");
        BOOST_REQUIRE(port > 0);
        thread = std::thread([this] { server.listen_after_bind(); });
    }

    void sendEndlessly(const std::string &first, const std::string &repeated)
    {
        limits.headerTimeout = limits.messageTimeout = 60s;
        listen();
        const RawConnection connection(port);
        BOOST_TEST(connection.send(first));
        BOOST_TEST(connection.sendEndlessly(repeated) < endlessBytes);
        BOOST_TEST(handled == 0);
    }

    [[nodiscard]] bool served(const std::string &body) const
    {
        httplib::Client client("127.0.0.1", port);
        const auto result = client.Post("/x", body, "text/plain");
        return result && result->status == 200 && result->body == body;
    }

    BoundedHttpLimits limits;
    BoundedHttpServer server;
    std::atomic<int> handled{ 0 };
    int port = 0;
    std::thread thread;
};

const std::string chunkedHead = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(boundedhttpserver, Fixture)

BOOST_AUTO_TEST_CASE(servesRequestsWithinTheLimits)
{
    listen();
    BOOST_TEST(served("hello"));
    BOOST_TEST(served(std::string(900000, 'x')));
    const RawConnection connection(port);
    const std::string request = chunkedHead + "5\r\nhello\r\n0\r\n\r\n";
    BOOST_TEST(connection.send(request + request));
    std::string answers;
    while (answers.find("hello", answers.find("hello") + 1) == std::string::npos) {
        const auto part = connection.receive();
        BOOST_REQUIRE(!part.empty());
        answers += part;
    }
    BOOST_TEST(handled == 4);
}

/// Guards against the library's line reader, which buffers a line without a bound.
BOOST_AUTO_TEST_CASE(closesAnEndlessLine)
{
    sendEndlessly("POST /", std::string(1000, 'x'));
}

BOOST_AUTO_TEST_CASE(closesEndlessHeaders)
{
    sendEndlessly("POST /x HTTP/1.1\r\n", "A: b\r\n");
}

/// Guards against chunked bodies, to which the library does not apply its payload limit.
BOOST_AUTO_TEST_CASE(closesAnEndlessChunkedBody)
{
    sendEndlessly(chunkedHead, "3e8\r\n" + std::string(1000, 'x') + "\r\n");
}

BOOST_AUTO_TEST_CASE(closesAnEndlessTrailer)
{
    sendEndlessly(chunkedHead + "1\r\nx\r\n0\r\n", std::string(1000, 'x'));
}

/// Guards against clients that occupy all threads with requests that they send byte by byte.
BOOST_AUTO_TEST_CASE(servesOthersWhileHeadersTrickle)
{
    listen();
    std::vector<std::unique_ptr<RawConnection>> slow(4);
    for (auto &connection : slow)
        connection = std::make_unique<RawConnection>(port);
    std::atomic<bool> stop{ false };
    std::thread trickle([&] {
        while (!stop) {
            for (const auto &connection : slow)
                connection->send("x");
            std::this_thread::sleep_for(20ms);
        }
    });
    BOOST_TEST(served("hello"));
    stop = true;
    trickle.join();
}

BOOST_AUTO_TEST_CASE(limitsTheBytesOfAllConnections)
{
    limits.totalBytes = 100000;
    listen();
    BOOST_TEST(!served(std::string(200000, 'x')));
    BOOST_TEST(served("hello"));
}

/// Guards against connections that wait for a thread and use up all file descriptors.
BOOST_AUTO_TEST_CASE(rejectsConnectionsBeyondTheQueue)
{
    limits.queuedConnections = 2;
    limits.headerTimeout = 5s;
    listen();
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < 4; ++i) {
        connections.push_back(std::make_unique<RawConnection>(port));
        connections.back()->send("P");
        std::this_thread::sleep_for(50ms);
    }
    const RawConnection excess(port);
    BOOST_TEST(excess.receive().starts_with("HTTP/1.1 503"));
}

BOOST_AUTO_TEST_SUITE_END()
