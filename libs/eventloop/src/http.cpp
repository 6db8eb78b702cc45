#include <eventloop/http.h>

#include <base/parsenumber.h>

#include <boost/asio/ip/address_v4.hpp>

namespace cowsliprock {

SocketAddress parseSocketAddress(const std::string &text)
{
    SocketAddress result;
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return result;
    const auto port = parseNumber<std::uint16_t>(std::string_view(text).substr(colon + 1));
    boost::system::error_code error;
    const auto ip = text.substr(0, colon);
    static_cast<void>(boost::asio::ip::make_address_v4(ip, error));
    if (!port || error)
        return result;
    result.ip = ip;
    result.port = *port;
    return result;
}

} // namespace cowsliprock
