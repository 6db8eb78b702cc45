#include "callerrequest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>

namespace cowsliprock {

namespace {

constexpr const char *errorStep = "request.read";
constexpr std::size_t maxKeyBytes = 255;

Error invalid(const std::string &detail)
{
    return { ErrorKind::Invalid, errorStep, {}, detail };
}

Result<bool> readIdempotent(const httplib::Request &request)
{
    if (!request.has_header("X-Idempotent"))
        return request.method == "GET" || request.method == "HEAD";
    const std::string value = request.get_header_value("X-Idempotent");
    if (value != "true" && value != "false")
        return invalid("X-Idempotent must be true or false");
    return value == "true";
}

/// Returns 0 if the header is absent; the service's default deadline then applies.
Result<Duration> readDeadline(const httplib::Request &request)
{
    if (!request.has_header("X-Deadline-Ms"))
        return Duration(0);
    const std::string text = request.get_header_value("X-Deadline-Ms");
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 1
        || value > maxDeadline.count())
        return invalid("X-Deadline-Ms must be a whole number from 1 to "
                       + std::to_string(maxDeadline.count()));
    return std::chrono::duration_cast<Duration>(std::chrono::milliseconds(value));
}

Result<Priority> readPriority(const httplib::Request &request)
{
    static const std::map<std::string, Priority> priorities = { { "urgent", Priority::Urgent },
                                                                { "normal", Priority::Normal },
                                                                { "batch", Priority::Batch } };
    const std::string value = request.get_header_value("X-Priority");
    if (value.empty())
        return Priority::Normal;
    if (const auto found = priorities.find(value); found != priorities.end())
        return found->second;
    return invalid("X-Priority must be urgent, normal or batch");
}

int problemStatus(const RequestAnswer &answer)
{
    if (answer.kind == AnswerKind::Unknown)
        return 504;
    if (answer.httpStatus >= 400)
        return answer.httpStatus;
    if (answer.reason == "unknown service")
        return 404;
    if (answer.reason == "key reused")
        return 422;
    return 503;
}

} // namespace

Result<RequestProfile> readCallerRequest(const httplib::Request &request)
{
    RequestProfile profile;
    profile.service = request.matches[1];
    // EndpointClient prepends the service name to the path.
    profile.path = request.target.substr(std::string("/services/").size() + profile.service.size());
    profile.method = request.method;
    profile.caller = request.has_header("X-Caller") ? request.get_header_value("X-Caller")
                                                    : std::string("anonymous");
    profile.idempotencyKey = request.get_header_value("Idempotency-Key");
    if (profile.caller.size() > maxKeyBytes || profile.idempotencyKey.size() > maxKeyBytes)
        return invalid("X-Caller and Idempotency-Key have at most 255 bytes");
    BOOST_OUTCOME_TRY(idempotent, readIdempotent(request));
    profile.idempotent = idempotent;
    if (!profile.idempotent && profile.idempotencyKey.empty())
        return invalid("a request that is not idempotent needs an Idempotency-Key");
    BOOST_OUTCOME_TRY(timeLeft, readDeadline(request));
    profile.timeLeft = timeLeft;
    BOOST_OUTCOME_TRY(priority, readPriority(request));
    profile.priority = priority;
    profile.hasPriority = request.has_header("X-Priority");
    profile.bodyBytes = static_cast<std::uint32_t>(request.body.size());
    profile.digest = stableHash(profile.method + "\n" + profile.path + "\n" + request.body);
    return profile;
}

void writeProblem(httplib::Response &response, const RequestAnswer &answer)
{
    const bool unknown = answer.kind == AnswerKind::Unknown;
    const char *outcome = unknown ? "unknown" : "not-run";
    response.status = problemStatus(answer);
    response.set_header("X-Outcome", outcome);
    if (answer.retryAfter > Duration(0)) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.retryAfter);
        response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    const nlohmann::json problem = {
        { "type", std::string("urn:cowsliprock:") + outcome },
        { "title", unknown ? "The outcome is unknown" : "The request was not run" },
        { "status", response.status },
        { "detail", answer.reason },
        { "outcome", outcome }
    };
    response.set_content(problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                         "application/problem+json");
}

} // namespace cowsliprock
