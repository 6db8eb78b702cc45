#include <eventloop/listen.h>

namespace cowsliprock {

namespace asio = boost::asio;

Result<SocketAddress> listenOn(asio::ip::tcp::acceptor &acceptor, const SocketAddress &address,
                               const char *step)
{
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(address.ip), address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
        const auto bound = acceptor.local_endpoint();
        return SocketAddress{ bound.address().to_string(), bound.port() };
    } catch (const boost::system::system_error &error) {
        return Error{ ErrorKind::Unavailable, step, address.text(), error.what() };
    }
}

} // namespace cowsliprock
