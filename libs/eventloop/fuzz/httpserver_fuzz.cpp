#include <eventloop/asio.h>
#include <eventloop/eventloop.h>
#include <eventloop/httpserver.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>

namespace asio = boost::asio;
using namespace cowsliprock;

namespace {

/// Largest body that the server may hand to its handler.
constexpr std::size_t maxBodyBytes = HttpServer::Limits().bodyBytes;

[[noreturn]] void fail(const char *reason)
{
    std::cerr << "httpserver_fuzz: " << reason << '\n';
    std::abort();
}

/// A server on the loopback interface with a thread of its own. It lives as long as the process.
class Server
{
public:
    Server()
    {
        const auto bound = m_server.listen({ "127.0.0.1", 0 }, {});
        if (!bound.has_value())
            fail("cannot listen");
        m_port = bound.value().port;
        std::thread([this] { m_loop.run(); }).detach();
    }

    /// Sends \p bytes on a new connection, in pieces of at most \p pieceSize bytes, and returns
    /// what the server sends until it closes the connection.
    std::string exchange(std::string_view bytes, std::size_t pieceSize)
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::make_address_v4("127.0.0.1"), m_port });
        socket.set_option(asio::ip::tcp::no_delay(true));
        // A reset at the end leaves no connection behind that would use up the local ports.
        socket.set_option(asio::socket_base::linger(true, 0));
        boost::system::error_code error;
        for (std::size_t sent = 0; sent < bytes.size() && !error; sent += pieceSize)
            asio::write(socket, asio::buffer(bytes.substr(sent, pieceSize)), error);
        socket.shutdown(asio::socket_base::shutdown_send, error);
        std::string response;
        asio::read(socket, asio::dynamic_buffer(response), error);
        return response;
    }

private:
    EventLoop m_loop;
    HttpServer m_server{ m_loop,
                         [](const HttpRequest &request, const HttpServer::Respond &respond) {
                             if (request.body.size() > maxBodyBytes)
                                 fail("a body above the limit");
                             respond({ 200, {}, "{}" });
                         } };
    std::uint16_t m_port = 0;
};

} // namespace

/// Fuzzes what a client sends on one connection: the first byte selects the size of the pieces, the
/// others are sent. The server has to close the connection (libFuzzer reports a hang after the time
/// given by -timeout) and to answer the next client.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static auto &server = *new Server;
    if (size == 0)
        return 0;
    const std::size_t pieceSize = data[0] == 0 ? size : data[0];
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    static_cast<void>(server.exchange(bytes, pieceSize));
    const auto response =
        server.exchange("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 1000);
    if (!response.starts_with("HTTP/1.1 200 "))
        fail("the next client got no response");
    return 0;
}
