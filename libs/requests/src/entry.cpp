#include "entry.h"

#include <requests/reasons.h>

#include <algorithm>
#include <vector>

namespace cowsliprock::requests {

namespace {

/// Must stay below the drain time of 30 s, within which all accepted requests are answered.
constexpr Duration maxDeadline = std::chrono::seconds(25);

[[nodiscard]] const char *metricName(AnswerKind kind) noexcept
{
    switch (kind) {
    case AnswerKind::Whole:
        return "requests.whole";
    case AnswerKind::NotRun:
        return "requests.notRun";
    case AnswerKind::Unknown:
        break;
    }
    return "requests.unknown";
}

[[nodiscard]] bool isCallerError(const RequestAnswer &answer)
{
    return answer.kind == AnswerKind::NotRun
        && (answer.reason == reason::keyReused || answer.reason == reason::keyMissing
            || answer.reason == reason::unknownService);
}

} // namespace

Entry::Entry(Context &context, const HomeLocator &locator, Home &home, Dispatcher &dispatcher)
    : m_context(context)
    , m_locator(locator)
    , m_home(home)
    , m_dispatcher(dispatcher)
{ }

void Entry::arrived(const event::RequestArrived &arrived)
{
    m_context.bodies.retain(arrived.bodyKey);
    Request request;
    request.profile = arrived.profile;
    request.body = arrived.bodyKey;
    request.arrived = m_context.now;
    const ServiceDefinition *service = m_context.service(arrived.profile.service);
    if (!request.profile.hasPriority && service != nullptr)
        request.profile.priority = service->priority;
    if (request.profile.timeLeft <= Duration(0) && service != nullptr)
        request.profile.timeLeft = service->defaultDeadline;
    request.profile.timeLeft = std::min(request.profile.timeLeft, maxDeadline);
    request.deadline = m_context.now + request.profile.timeLeft;
    m_deadlines.emplace(request.deadline, arrived.request);
    Request &kept = m_requests.insert_or_assign(arrived.request, std::move(request)).first->second;
    if (service == nullptr)
        answer(arrived.request, notRun(reason::unknownService, Duration(0)));
    else if (m_context.draining)
        answer(arrived.request, notRun(reason::draining, defaultRetryAfter));
    else
        serve(arrived.request, kept);
}

void Entry::serve(const RequestId &id, Request &request)
{
    if (!request.profile.idempotent) {
        serveAtMostOnce(id, request);
        return;
    }
    request.attempt = m_context.newAttempt();
    m_attempts.emplace(request.attempt, id);
    m_dispatcher.start(Requester::Entry, request.attempt, request.profile, request.body,
                       request.deadline);
}

void Entry::serveAtMostOnce(const RequestId &id, Request &request)
{
    if (request.profile.idempotencyKey.empty()) {
        answer(id, notRun(reason::keyMissing, Duration(0)));
        return;
    }
    const PartitionId partition = m_locator.partition(request.profile);
    const auto home = m_locator.home(partition);
    if (!home) {
        answer(id, notRun(reason::noHome, defaultRetryAfter));
    } else if (home->name == m_context.settings.self.name) {
        m_home.submit(request.profile, request.body, partition, request.deadline,
                      LocalWaiter{ id });
    } else {
        request.home = *home;
        request.attempt = m_context.newAttempt(*home);
        m_attempts.emplace(request.attempt, id);
        m_forwards.emplace(request.attempt, *home);
        m_context.send(home->name,
                       message::Forward{ request.attempt, request.profile, request.body, {}, {} });
    }
}

void Entry::attemptFinished(const AttemptId &attempt, const RequestAnswer &result)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        m_context.output->count("requests.lateReplies");
        return;
    }
    const RequestId request = found->second;
    answer(request, result);
}

void Entry::forwardReplied(const message::ForwardReply &reply)
{
    attemptFinished(reply.attempt, reply.answer);
}

void Entry::operationFinished(const AttemptId &operation, const RequestAnswer &answer)
{
    attemptFinished(operation, answer);
}

void Entry::homeReplied(const RequestId &request, const RequestAnswer &result)
{
    if (m_requests.contains(request))
        answer(request, result);
    else
        m_context.output->count("requests.lateReplies");
}

void Entry::callerDisconnected(const event::CallerDisconnected &caller)
{
    const auto found = m_requests.find(caller.request);
    if (found == m_requests.end())
        return;
    if (found->second.profile.idempotent)
        m_dispatcher.abandon(found->second.attempt);
    answer(caller.request, unknown(reason::callerDisconnected));
}

void Entry::peerStatus(const event::PeerStatus &status)
{
    std::vector<AttemptId> lost;
    for (const auto &[attempt, home] : m_forwards) {
        if (home.name == status.peer.name && home.incarnation < status.peer.incarnation)
            lost.push_back(attempt);
    }
    for (const auto &attempt : lost)
        attemptFinished(attempt, unknown(reason::outcomeUnknown));
}

void Entry::tick()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_context.now) {
        const RequestId request = m_deadlines.begin()->second;
        answer(request, unknown(reason::deadlinePassed));
    }
}

void Entry::answer(const RequestId &id, const RequestAnswer &answer)
{
    const auto found = m_requests.find(id);
    const Request request = std::move(found->second);
    m_requests.erase(found);
    m_attempts.erase(request.attempt);
    m_forwards.erase(request.attempt);
    m_deadlines.erase({ request.deadline, id });
    m_context.output->perform(effect::AnswerCaller{ id, answer });
    m_context.bodies.release(request.body, *m_context.output);
    report(request, answer);
}

void Entry::report(const Request &request, const RequestAnswer &answer)
{
    const bool whole = answer.kind == AnswerKind::Whole;
    m_context.output->count(metricName(answer.kind));
    // Service level objectives exclude caller errors. Unknown service names also must not become
    // rows of the report: callers could exhaust memory with made-up names.
    if (isCallerError(answer))
        return;
    event::WorkFinished finished;
    finished.service = request.profile.service;
    finished.caller = request.profile.caller;
    finished.waited = std::max(Duration(0), m_context.now - request.arrived - answer.served);
    finished.deadlineMet = whole && m_context.now <= request.deadline;
    finished.available = whole;
    m_context.output->raise(std::move(finished));
}

} // namespace cowsliprock::requests
