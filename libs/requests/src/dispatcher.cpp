#include "dispatcher.h"

#include <requests/reasons.h>

#include <utility>
#include <vector>

namespace cowsliprock::requests {

namespace {

/// Number of owners that may refuse a request before the refusal is returned.
constexpr std::uint32_t maxOwnersPerRequest = 3;

/// Bounds the share of the service's retry budget that one request can consume if it makes its
/// endpoints fail.
constexpr std::uint32_t maxRetries = 2;

} // namespace

Dispatcher::Dispatcher(Context &context, Owner &owner)
    : m_context(context)
    , m_owner(owner)
    , m_ownerChoice(context)
{ }

void Dispatcher::start(Requester requester, const AttemptId &operation,
                       const RequestProfile &profile, const BodyKey &body, TimePoint deadline)
{
    m_context.bodies.retain(body);
    Operation created;
    created.requester = requester;
    created.profile = profile;
    created.body = body;
    created.deadline = deadline;
    const auto position = m_operations.emplace(operation, std::move(created)).first;
    m_deadlines.emplace(deadline, operation);
    if (const ServiceDefinition *definition = m_context.service(profile.service);
        profile.idempotent && definition != nullptr)
        m_retryBudgets[profile.service].addFirstAttempt(definition->retryBudgetPercent);
    if (!sendAttempt(operation, position->second))
        finish(position, notRun(reason::noOwner, defaultRetryAfter));
}

bool Dispatcher::sendAttempt(const AttemptId &id, Operation &operation)
{
    const std::string &service = operation.profile.service;
    const Duration timeLeft = operation.deadline - m_context.now;
    const auto target =
        m_ownerChoice.choose(service, localLoad(service), timeLeft, operation.refusedBy);
    if (!target)
        return false;
    operation.target = *target;
    operation.attempt = m_context.newAttempt(*target);
    operation.profile.timeLeft = timeLeft;
    m_outstanding[operation.attempt] = id;
    if (target->name == m_context.settings.self.name) {
        m_owner.submit(operation.attempt, operation.profile, operation.body, operation.deadline);
    } else {
        m_context.send(
            target->name,
            message::Dispatch{ operation.attempt, operation.profile, operation.body, {}, {} });
    }
    return true;
}

void Dispatcher::replied(const AttemptId &attempt, const RequestAnswer &answer)
{
    const auto outstanding = m_outstanding.find(attempt);
    if (outstanding == m_outstanding.end()) {
        m_context.output->count("requests.lateReplies");
        return;
    }
    const auto operation = m_operations.find(outstanding->second);
    m_outstanding.erase(outstanding);
    switch (answer.kind) {
    case AnswerKind::Whole:
        finish(operation, answer);
        break;
    case AnswerKind::NotRun:
        refused(operation, answer);
        break;
    case AnswerKind::Unknown:
        outcomeUnknown(operation, answer);
        break;
    }
}

void Dispatcher::refused(Operations::iterator operation, const RequestAnswer &answer)
{
    auto &[id, state] = *operation;
    state.refusedBy.insert(state.target.name);
    if (state.refusedBy.size() < maxOwnersPerRequest && canAttemptAgain(state)
        && sendAttempt(id, state))
        return;
    // An earlier attempt of this request may have been executed.
    if (state.mayHaveRun)
        finish(operation, unknown(reason::outcomeUnknown));
    else
        finish(operation, answer);
}

void Dispatcher::outcomeUnknown(Operations::iterator operation, const RequestAnswer &answer)
{
    auto &[id, state] = *operation;
    state.mayHaveRun = true;
    if (state.profile.idempotent && state.retries < maxRetries && canAttemptAgain(state)
        && m_retryBudgets[state.profile.service].tryConsumeRetry()) {
        m_context.output->count("requests.retries");
        ++state.retries;
        if (sendAttempt(id, state))
            return;
    }
    finish(operation, answer);
}

void Dispatcher::finish(Operations::iterator operation, RequestAnswer answer)
{
    auto &[id, state] = *operation;
    m_outstanding.erase(state.attempt);
    m_deadlines.erase({ state.deadline, id });
    m_context.reply(OperationResult{ state.requester, id, std::move(answer) });
    m_context.bodies.release(state.body, *m_context.output);
    m_operations.erase(operation);
}

void Dispatcher::peerStatus(const event::PeerStatus &status)
{
    m_ownerChoice.update(status);
    auto &incarnation = m_incarnations[status.peer.name];
    const bool restarted =
        status.peer.incarnation != std::exchange(incarnation, status.peer.incarnation);
    if (!restarted && status.alive)
        return;
    std::vector<AttemptId> lost;
    for (const auto &[id, operation] : m_operations) {
        // A peer that is merely unresponsive may still reply, so a request that must not be retried
        // keeps waiting for it.
        if (operation.target.name == status.peer.name
            && (operation.target.incarnation < status.peer.incarnation
                || (!status.alive && operation.profile.idempotent)))
            lost.push_back(operation.attempt);
    }
    for (const auto &attempt : lost)
        replied(attempt, unknown(reason::outcomeUnknown));
}

void Dispatcher::abandon(const AttemptId &operation)
{
    const auto found = m_operations.find(operation);
    if (found == m_operations.end())
        return;
    m_outstanding.erase(found->second.attempt);
    m_deadlines.erase({ found->second.deadline, operation });
    m_context.bodies.release(found->second.body, *m_context.output);
    m_operations.erase(found);
}

void Dispatcher::tick()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_context.now)
        finish(m_operations.find(m_deadlines.begin()->second), unknown(reason::deadlinePassed));
}

bool Dispatcher::canAttemptAgain(const Operation &operation) const
{
    const ServiceDefinition *definition = m_context.service(operation.profile.service);
    return definition != nullptr && m_context.now < operation.deadline;
}

LocalLoad Dispatcher::localLoad(const std::string &service) const
{
    const auto &endpoints = m_owner.endpoints();
    return { m_context.now < m_context.validUntil && endpoints.usableSlots(service) > 0,
             endpoints.freeSlots(service), m_owner.waiting(service) };
}

} // namespace cowsliprock::requests
