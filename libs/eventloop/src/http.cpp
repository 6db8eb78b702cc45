#include <eventloop/http.h>

#include <base/parsenumber.h>

namespace cowsliprock {

SocketAddress parseSocketAddress(const std::string &text)
{
    SocketAddress result;
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return result;
    const auto port = parseNumber<std::uint16_t>(std::string_view(text).substr(colon + 1));
    if (!port)
        return result;
    result.ip = text.substr(0, colon);
    result.port = *port;
    return result;
}

} // namespace cowsliprock
