#include <eventloop/http.h>

#include <charconv>

namespace cowsliprock {

SocketAddress parseSocketAddress(const std::string &text)
{
    SocketAddress result;
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return result;
    const char *end = text.data() + text.size();
    if (const auto [last, error] = std::from_chars(text.data() + colon + 1, end, result.port);
        error != std::errc() || last != end) {
        result.port = 0;
        return result;
    }
    result.ip = text.substr(0, colon);
    return result;
}

} // namespace cowsliprock
