#include <cli/transport.h>

#include <httplib.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cowsliprock::cli {

namespace {

constexpr std::chrono::seconds connectTimeout{ 2 };

[[nodiscard]] bool isUnsent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress;
}

[[nodiscard]] std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

[[nodiscard]] Result<HttpResponse> sendOverHttp(const std::string &daemon, const HttpRequest &call)
{
    const auto colon = daemon.rfind(':');
    int port = 0;
    if (colon != std::string::npos)
        std::from_chars(daemon.data() + colon + 1, daemon.data() + daemon.size(), port);
    if (port <= 0)
        return Error{ ErrorKind::Invalid, "http", daemon, "must be host:port" };

    httplib::Client client(daemon.substr(0, colon), port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(call.timeout);
    client.set_write_timeout(call.timeout);
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.headers = { call.headers.begin(), call.headers.end() };
    request.body = call.body;
    const auto result = client.send(request);
    if (!result)
        return Error{ isUnsent(result.error()) ? ErrorKind::Unavailable : ErrorKind::Timeout,
                      "http", daemon, httplib::to_string(result.error()) };
    HttpResponse response{ result->status, {}, result->body };
    for (const auto &[name, value] : result->headers)
        response.headers[lowerCase(name)] = value;
    return response;
}

} // namespace

Transport httpTransport()
{
    return sendOverHttp;
}

} // namespace cowsliprock::cli
