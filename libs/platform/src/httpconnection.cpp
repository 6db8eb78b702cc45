#include "httpconnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <mutex>

namespace cowsliprock {

namespace {

/// Time after which the operating system discards data that the peer has not acknowledged. The
/// quarantine period of a new owner relies on this limit.
constexpr unsigned unacknowledgedTimeoutMs = 2000;

[[nodiscard]] std::string hostOf(const std::string &address)
{
    std::string host = address.substr(0, address.rfind(':'));
    if (host.size() > 1 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    return host;
}

[[nodiscard]] int portOf(const std::string &address)
{
    int port = 0;
    if (const std::size_t colon = address.rfind(':'); colon != std::string::npos)
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return port;
}

/// True for methods for which every server waits for the end of a chunked body. DELETE is not one
/// of them: cpp-httplib's server executes it as soon as it has the header.
[[nodiscard]] bool waitsForBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

[[nodiscard]] httplib::Request toLibraryRequest(const HttpRequest &request)
{
    httplib::Request result;
    result.method = request.method;
    result.path = request.target;
    result.headers = request.headers;
    if (request.body && !request.body->bytes.empty()) {
        const std::string &bytes = request.body->bytes;
        result.content_length_ = bytes.size();
        result.content_provider_ = [&bytes](std::size_t offset, std::size_t length,
                                            httplib::DataSink &sink) {
            return sink.write(bytes.data() + offset, length);
        };
    } else if (waitsForBody(request.method)) {
        // The terminating chunk is a separate write, without which the request is incomplete.
        result.headers.emplace("Transfer-Encoding", "chunked");
        result.is_chunked_content_provider_ = true;
        result.content_provider_ = [](std::size_t, std::size_t, httplib::DataSink &sink) {
            sink.done();
            return true;
        };
    }
    if (request.body && !request.body->contentType.empty())
        result.headers.emplace("Content-Type", request.body->contentType);
    return result;
}

/// A response is complete if its body has the announced length or if its last chunk was received.
[[nodiscard]] bool isComplete(const httplib::Request &request, const httplib::Response &response,
                              const GuardedStream &stream)
{
    if (request.method == "HEAD" || response.status == 204 || response.status == 304)
        return true;
    if (response.get_header_value("Transfer-Encoding") == "chunked") {
        // The library also accepts a malformed line between two chunks as the end of the body.
        return !stream.endOfStream() && stream.atEmptyLine();
    }
    const std::string text = response.get_header_value("Content-Length");
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc{} && end == text.data() + text.size()
        && length == response.body.size();
}

} // namespace

std::string HttpResponse::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

HttpConnection::HttpConnection(const std::string &address, const ConnectionSettings &settings)
    : httplib::ClientImpl(hostOf(address), portOf(address))
    , m_address(address)
    , m_keepAlive(settings.keepAlive)
{
    set_connection_timeout(settings.connectTimeout);
    set_tcp_nodelay(true);
    set_url_encode(false);
    set_decompress(false);
    set_keep_alive(settings.keepAlive);
    if (settings.limitUnacknowledged) {
        set_socket_options([](socket_t socket) {
            ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedTimeoutMs,
                         sizeof(unacknowledgedTimeoutMs));
        });
    }
}

HttpExchange HttpConnection::exchange(const HttpRequest &request, const Clock &clock,
                                      const ExchangeLimits &limits)
{
    HttpExchange result;
    if (!reusable()) {
        close();
        if (!connect(result.detail))
            return result;
    }
    httplib::Request message = toLibraryRequest(request);
    httplib::Response response;
    GuardedStream stream(socket_.sock, clock, limits);
    httplib::Error error = httplib::Error::Success;
    const bool processed = process_request(stream, message, response, !m_keepAlive, error);
    if (!processed)
        result.detail = httplib::to_string(error);
    finish(result, stream, message, response, processed);
    return result;
}

void HttpConnection::finish(HttpExchange &exchange, const GuardedStream &stream,
                            const httplib::Request &request, httplib::Response &response,
                            bool processed)
{
    exchange.sent = stream.requestSent();
    exchange.respondedEarly = stream.respondedEarly();
    if (processed && isComplete(request, response, stream)) {
        exchange.answer =
            HttpResponse{ response.status, std::move(response.headers), std::move(response.body) };
        if (!m_keepAlive || stream.respondedEarly())
            close();
        return;
    }
    close();
    if (stream.expired()) {
        exchange.failure = ErrorKind::Refused;
        exchange.detail = "validity ended before the request was sent completely";
    } else if (exchange.respondedEarly) {
        exchange.detail = "peer responded before the request was sent completely";
    } else if (!exchange.sent) {
        exchange.detail = "connection closed before the request was sent completely";
    } else if (processed) {
        exchange.detail = "response incomplete or of unknown length";
    } else if (!stream.endOfStream() && stream.bytesRead() == 0) {
        exchange.failure = ErrorKind::Timeout;
        exchange.detail = "no response";
    }
}

bool HttpConnection::connect(std::string &detail)
{
    httplib::Error error = httplib::Error::Success;
    if (create_and_connect_socket(socket_, error))
        return true;
    detail = "connect: " + httplib::to_string(error);
    return false;
}

void HttpConnection::close()
{
    const std::lock_guard guard(socket_mutex_);
    if (!socket_.is_open())
        return;
    shutdown_socket(socket_);
    close_socket(socket_);
}

bool HttpConnection::reusable() const noexcept
{
    if (!socket_.is_open())
        return false;
    char byte = 0;
    const ssize_t count = ::recv(socket_.sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace cowsliprock
