#include <platform/endpointclient.h>

#include "connectionpool.h"

#include <algorithm>

namespace cowsliprock {

namespace {

using event::EndpointOutcome;

/// Control characters could change the structure of the request header.
[[nodiscard]] bool hasControlCharacter(const std::string &text)
{
    return std::any_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return code < 0x20U || code == 0x7fU;
    });
}

[[nodiscard]] std::string requestTarget(const RequestProfile &request)
{
    const bool slash = !request.path.empty() && request.path.front() == '/';
    return "/services/" + request.service + (slash ? "" : "/") + request.path;
}

/// Returns the reason why the request cannot be sent, or an empty string if it is valid.
[[nodiscard]] std::string validationError(const effect::CallEndpoint &effect, const Body &body)
{
    const RequestProfile &request = effect.request;
    const std::string target = requestTarget(request);
    if (hasControlCharacter(target) || target.find(' ') != std::string::npos)
        return "path contains a space or control character";
    if (request.method.empty() || hasControlCharacter(request.method)
        || request.method.find(' ') != std::string::npos)
        return "method is empty or contains a space or control character";
    if (hasControlCharacter(request.idempotencyKey) || hasControlCharacter(request.caller)
        || hasControlCharacter(body.contentType))
        return "header value contains a control character";
    return {};
}

} // namespace

class EndpointClient::Private
{
public:
    Private(EndpointClientSettings settings, const Clock &clock)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_pool({ m_settings.connectTimeout, true, true }, m_settings.maxIdle)
    { }

    [[nodiscard]] EndpointResult call(const effect::CallEndpoint &effect, const Body &body)
    {
        EndpointResult result;
        result.reply.attempt = effect.attempt;
        result.reply.outcome = EndpointOutcome::NotSent;
        result.reply.detail = validationError(effect, body);
        if (!result.reply.detail.empty())
            return result;
        HttpExchange exchange = send(effect, body);
        if (exchange.answer) {
            readResponse(result, exchange);
        } else {
            result.reply.outcome =
                exchange.provablyIncomplete() ? EndpointOutcome::NotSent : EndpointOutcome::Unknown;
            result.reply.detail = std::move(exchange.detail);
        }
        return result;
    }

private:
    [[nodiscard]] HttpExchange send(const effect::CallEndpoint &effect, const Body &body)
    {
        const RequestProfile &profile = effect.request;
        const auto timeLeft =
            std::chrono::duration_cast<std::chrono::milliseconds>(profile.timeLeft);
        HttpRequest request{ profile.method,
                             requestTarget(profile),
                             { { "X-Client", m_settings.clientName },
                               { "X-Attempt", effect.attempt.value() },
                               { "X-Caller", profile.caller },
                               { "X-Deadline-Ms", std::to_string(timeLeft.count()) } },
                             &body };
        if (!profile.idempotencyKey.empty())
            request.headers.emplace("Idempotency-Key", profile.idempotencyKey);
        ExchangeLimits limits;
        limits.deadline = std::chrono::steady_clock::now() + profile.timeLeft;
        limits.validUntil = effect.validUntil;
        limits.maxAnswerBytes = m_settings.maxAnswerBytes;
        return m_pool.exchange(effect.address, request, m_clock, limits);
    }

    static void readResponse(EndpointResult &result, HttpExchange &exchange)
    {
        HttpResponse &answer = *exchange.answer;
        event::EndpointReply &reply = result.reply;
        reply.httpStatus = answer.status;
        reply.leaving = answer.header("X-Leaving") == "1";
        if (answer.status == 503 && answer.header("X-Refused") == "1") {
            reply.outcome = EndpointOutcome::Refused;
            return;
        }
        if (exchange.respondedEarly) {
            reply.outcome = EndpointOutcome::Unknown;
            reply.detail = "endpoint responded before the request was sent completely";
            return;
        }
        reply.outcome = EndpointOutcome::Answered;
        result.body = { answer.header("Content-Type"), std::move(answer.bytes) };
    }

    EndpointClientSettings m_settings;
    const Clock &m_clock;
    ConnectionPool m_pool;
};

EndpointClient::EndpointClient(EndpointClientSettings settings, const Clock &clock)
    : m_private(std::make_unique<Private>(std::move(settings), clock))
{ }

EndpointClient::~EndpointClient() = default;

EndpointResult EndpointClient::call(const effect::CallEndpoint &effect, const Body &body)
{
    return m_private->call(effect, body);
}

} // namespace cowsliprock
