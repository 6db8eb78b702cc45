#include "dispatcher.h"

#include <requests/reasons.h>

#include <utility>
#include <vector>

namespace cowsliprock::requests {

namespace {

/// An owner's refusal is passed on to another owner until this many were asked.
constexpr std::uint32_t maxOwners = 3;

/// Bounds what one request that breaks its endpoints can take from the budget of its service.
constexpr std::uint32_t maxRetries = 2;

} // namespace

Dispatcher::Dispatcher(Context &context, Owner &owner)
    : m_context(context)
    , m_owner(owner)
    , m_choice(context)
{ }

void Dispatcher::start(Requester requester, const AttemptId &work, const RequestProfile &profile,
                       const BodyKey &body, TimePoint deadline)
{
    m_context.bodies.hold(body);
    Work created;
    created.requester = requester;
    created.profile = profile;
    created.body = body;
    created.deadline = deadline;
    const auto position = m_works.emplace(work, std::move(created)).first;
    m_deadlines.emplace(deadline, work);
    if (const ServiceDefinition *definition = m_context.service(profile.service);
        profile.idempotent && definition != nullptr)
        m_budgets[profile.service].addFirstAttempt(definition->retryBudgetPercent);
    if (!sendAttempt(work, position->second))
        finish(position, notRun(reason::noOwner, defaultRetryAfter));
}

bool Dispatcher::sendAttempt(const AttemptId &id, Work &work)
{
    const std::string &service = work.profile.service;
    const Duration timeLeft = work.deadline - m_context.now;
    const auto target = m_choice.choose(service, ownLoad(service), timeLeft, work.refusedBy);
    if (!target)
        return false;
    work.target = *target;
    work.attempt = m_context.newAttempt(*target);
    work.profile.timeLeft = timeLeft;
    m_outstanding[work.attempt] = id;
    if (target->name == m_context.settings.self.name) {
        m_owner.submit(work.attempt, work.profile, work.body, work.deadline);
    } else {
        m_context.send(target->name,
                       message::Dispatch{ work.attempt, work.profile, work.body, {}, {} });
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
    const auto work = m_works.find(outstanding->second);
    m_outstanding.erase(outstanding);
    switch (answer.kind) {
    case AnswerKind::Whole:
        finish(work, answer);
        break;
    case AnswerKind::NotRun:
        refused(work, answer);
        break;
    case AnswerKind::Unknown:
        outcomeUnknown(work, answer);
        break;
    }
}

void Dispatcher::refused(Works::iterator work, const RequestAnswer &answer)
{
    auto &[id, state] = *work;
    state.refusedBy.insert(state.target.name);
    if (state.refusedBy.size() < maxOwners && timeForAnother(state) && sendAttempt(id, state))
        return;
    // An earlier attempt of this request may have run.
    if (state.mayHaveRun)
        finish(work, unknown(reason::outcomeUnknown));
    else
        finish(work, answer);
}

void Dispatcher::outcomeUnknown(Works::iterator work, const RequestAnswer &answer)
{
    auto &[id, state] = *work;
    state.mayHaveRun = true;
    if (state.profile.idempotent && state.retries < maxRetries && timeForAnother(state)
        && m_budgets[state.profile.service].takeRetry()) {
        m_context.output->count("requests.retries");
        ++state.retries;
        if (sendAttempt(id, state))
            return;
    }
    finish(work, answer);
}

void Dispatcher::finish(Works::iterator work, RequestAnswer answer)
{
    auto &[id, state] = *work;
    m_outstanding.erase(state.attempt);
    m_deadlines.erase({ state.deadline, id });
    m_context.reply(WorkDone{ state.requester, id, std::move(answer) });
    m_context.bodies.release(state.body, *m_context.output);
    m_works.erase(work);
}

void Dispatcher::peerStatus(const event::PeerStatus &status)
{
    m_choice.update(status);
    auto &incarnation = m_incarnations[status.peer.name];
    const bool restarted =
        status.peer.incarnation != std::exchange(incarnation, status.peer.incarnation);
    if (!restarted && status.alive)
        return;
    std::vector<AttemptId> lost;
    for (const auto &[id, work] : m_works) {
        // A peer that is only silent may still reply, and nothing else can be done for a
        // request that may not be retried.
        if (work.target.name == status.peer.name
            && (work.target.incarnation < status.peer.incarnation
                || (!status.alive && work.profile.idempotent)))
            lost.push_back(work.attempt);
    }
    for (const auto &attempt : lost)
        replied(attempt, unknown(reason::outcomeUnknown));
}

void Dispatcher::abandon(const AttemptId &work)
{
    const auto found = m_works.find(work);
    if (found == m_works.end())
        return;
    m_outstanding.erase(found->second.attempt);
    m_deadlines.erase({ found->second.deadline, work });
    m_context.bodies.release(found->second.body, *m_context.output);
    m_works.erase(found);
}

void Dispatcher::tick()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_context.now)
        finish(m_works.find(m_deadlines.begin()->second), unknown(reason::deadlinePassed));
}

bool Dispatcher::timeForAnother(const Work &work) const
{
    const ServiceDefinition *definition = m_context.service(work.profile.service);
    return definition != nullptr && m_context.now < work.deadline;
}

OwnLoad Dispatcher::ownLoad(const std::string &service) const
{
    const auto &endpoints = m_owner.endpoints();
    return { m_context.now < m_context.validUntil && endpoints.usableSlots(service) > 0,
             endpoints.freeSlots(service), m_owner.waiting(service) };
}

} // namespace cowsliprock::requests
