#include <kernel/replay.h>

#include <kernel/serialization.h>

namespace cowsliprock {

namespace {

const char *answerName(AnswerKind kind) noexcept
{
    switch (kind) {
    case AnswerKind::Whole:
        return "whole";
    case AnswerKind::NotRun:
        return "notRun";
    case AnswerKind::Unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace

void InvariantChecker::observe(const Event &event)
{
    if (const auto *arrived = std::get_if<event::RequestArrived>(&event)) {
        m_answerCounts[arrived->request] = 0;
    } else if (const auto *reply = std::get_if<event::EndpointReply>(&event)) {
        if (const auto found = m_callAddresses.find(reply->attempt); found != m_callAddresses.end())
            --m_activeCalls[found->second];
    } else if (const auto *report = std::get_if<event::WorkerReport>(&event)) {
        for (const auto &endpoint : report->endpoints)
            m_endpointSlots[endpoint.address] = endpoint.slots;
    }
}

void InvariantChecker::observe(const Effect &effect, TimePoint now)
{
    if (const auto *call = std::get_if<effect::CallEndpoint>(&effect))
        checkCall(*call, now);
    else if (const auto *start = std::get_if<effect::StartTask>(&effect))
        checkStart(*start, now);
    else if (const auto *answer = std::get_if<effect::AnswerCaller>(&effect))
        checkAnswer(*answer);
}

void InvariantChecker::checkCall(const effect::CallEndpoint &call, TimePoint now)
{
    const std::string &attempt = call.attempt.value();
    if (!m_callAddresses.emplace(call.attempt, call.address).second)
        m_violations.push_back("attempt " + attempt + " was sent twice");
    if (now >= call.validUntil)
        m_violations.push_back("attempt " + attempt + " was sent after the lease had expired");
    if (++m_activeCalls[call.address] > m_endpointSlots[call.address])
        m_violations.push_back("attempt " + attempt + " exceeds the slots of " + call.address);
}

void InvariantChecker::checkStart(const effect::StartTask &start, TimePoint now)
{
    const std::string &attempt = start.launch.attempt.value();
    if (++m_startCounts[start.launch.attempt] > 1)
        m_violations.push_back("task attempt " + attempt + " was started twice");
    if (now >= start.validUntil)
        m_violations.push_back("task attempt " + attempt
                               + " was started after the lease had expired");
}

void InvariantChecker::checkAnswer(const effect::AnswerCaller &answer)
{
    const auto found = m_answerCounts.find(answer.request);
    if (found == m_answerCounts.end())
        m_violations.push_back("answer to unknown request " + answer.request.value());
    else if (++found->second > 1)
        m_violations.push_back("request " + answer.request.value() + " was answered twice");
}

Result<ReplaySummary> replayTrace(std::istream &trace)
{
    std::string text;
    if (!std::getline(trace, text))
        return Error{ ErrorKind::Invalid, "trace.read", {}, "trace has no settings line" };
    BOOST_OUTCOME_TRY(settings, decodeSettings(text));
    Kernel kernel(settings);
    InvariantChecker checker;
    ReplaySummary summary;
    while (std::getline(trace, text)) {
        BOOST_OUTCOME_TRY(line, decodeTraceLine(text));
        ++summary.events;
        checker.observe(line.event);
        for (const auto &effect : kernel.handle(line.event, line.at)) {
            checker.observe(effect, line.at);
            ++summary.effects[std::visit([](const auto &alternative) { return alternative.name; },
                                         effect)];
            if (const auto *answer = std::get_if<effect::AnswerCaller>(&effect))
                ++summary.answers[answerName(answer->answer.kind)];
        }
    }
    summary.violations = checker.violations();
    return summary;
}

} // namespace cowsliprock
