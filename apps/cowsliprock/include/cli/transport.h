#pragma once

#include <base/error.h>
#include <base/time.h>

#include <functional>
#include <map>
#include <string>

namespace cowsliprock::cli {

struct HttpCall
{
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers = {};
    std::string body = {};
    Duration timeout{ std::chrono::seconds(30) };
};

struct HttpAnswer
{
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// Sends a call to a daemon ("host:port"). Fails with ErrorKind::Unavailable if nothing was sent,
/// and with ErrorKind::Timeout if the call may have had an effect.
using Transport =
    std::function<Result<HttpAnswer>(const std::string &daemon, const HttpCall &call)>;

[[nodiscard]] Transport httpTransport();

} // namespace cowsliprock::cli
