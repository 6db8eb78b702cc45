#pragma once

#include <base/error.h>
#include <base/time.h>

#include <functional>
#include <map>
#include <string>

namespace cowsliprock::cli {

struct HttpRequest
{
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers = {};
    std::string body = {};
    Duration timeout{ std::chrono::seconds(30) };
};

struct HttpResponse
{
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names are in lower case.
    std::string body;
};

/// Sends a call to a daemon ("host:port"). Fails with ErrorKind::Invalid if the address is
/// malformed, ErrorKind::Unavailable if nothing was sent, and ErrorKind::Timeout if the call may
/// have had an effect.
using Transport =
    std::function<Result<HttpResponse>(const std::string &daemon, const HttpRequest &call)>;

[[nodiscard]] Transport httpTransport();

} // namespace cowsliprock::cli
