#include "peermessages.h"

#include <base/readjson.h>

namespace cowsliprock::cell {

std::string encode(const PeerAdviceRequest &question)
{
    return Json{
        { "step", question.step },
        { "workers", question.workers },
        { "timeoutUs", question.timeout.count() }
    }.dump();
}

std::string encode(const PromiseRequest &request)
{
    return Json{ { "ownershipRevision", request.ownershipRevision } }.dump();
}

std::string encode(const PromiseAnswer &answer)
{
    return Json{ { "runningForUs", answer.runningFor.count() } }.dump();
}

std::string encode(const AcceptedAnswer &answer)
{
    Json json = Json::object();
    if (answer.excessDelay)
        json["excessDelayUs"] = answer.excessDelay->count();
    return json.dump();
}

std::string encode(const Advice &advice)
{
    Json allowed = Json::array();
    for (const auto &ticket : advice.allowed)
        allowed.push_back(Json::array({ ticket.worker, ticket.value }));
    return Json{
        { "allowed", std::move(allowed) }, { "validityUs", advice.validity.count() }
    }.dump();
}

std::string encodeStatus(const std::optional<JobStatus> &status)
{
    Json json = Json::object();
    if (status)
        json["status"] = toString(*status);
    return json.dump();
}

std::string encodeCount(std::uint64_t count)
{
    return Json{ { "count", count } }.dump();
}

std::optional<PeerAdviceRequest> decodePeerAdviceRequest(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        return PeerAdviceRequest{ json.at("step"),
                                  json.at("workers").get<std::vector<std::string>>(),
                                  timeOf<Duration>(json.at("timeoutUs")) };
    });
}

std::optional<PromiseRequest> decodePromiseRequest(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        return PromiseRequest{ integerOf<std::uint64_t>(json.at("ownershipRevision")) };
    });
}

std::optional<PromiseAnswer> decodePromiseAnswer(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        return PromiseAnswer{ timeOf<Duration>(json.at("runningForUs")) };
    });
}

std::optional<Advice> decodeAdvice(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        Advice advice;
        for (const auto &row : json.at("allowed"))
            advice.allowed.push_back({ row.at(0), row.at(1) });
        advice.validity = timeOf<Duration>(json.at("validityUs"));
        return advice;
    });
}

std::optional<std::optional<JobStatus>> decodeStatus(const std::string &text)
{
    return decodeJson(text, [](const Json &json) -> std::optional<JobStatus> {
        if (const auto status = json.find("status"); status != json.end())
            return parseJobStatus(status->get<std::string>());
        return std::nullopt;
    });
}

std::optional<AcceptedAnswer> decodeAcceptedAnswer(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        AcceptedAnswer answer;
        if (const auto delay = json.find("excessDelayUs"); delay != json.end())
            answer.excessDelay = timeOf<Duration>(*delay);
        return answer;
    });
}

std::optional<std::uint64_t> decodeCount(const std::string &text)
{
    return decodeJson(text,
                      [](const Json &json) { return integerOf<std::uint64_t>(json.at("count")); });
}

} // namespace cowsliprock::cell
