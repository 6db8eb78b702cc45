#include "home.h"

#include <requests/reasons.h>

#include <algorithm>

namespace cowsliprock::requests {

Home::Home(Context &context, const HomeLocator &locator, Dispatcher &dispatcher)
    : m_context(context)
    , m_locator(locator)
    , m_dispatcher(dispatcher)
    , m_identities(context)
{ }

void Home::forwarded(const DaemonIdentity &from, const message::Forward &forward)
{
    // A duplicate gets no reply: the first copy may have been answered as not run.
    if (m_context.isForEarlierIncarnation(forward.attempt)
        || !m_seenAttempts.add(forward.attempt, m_context.now)) {
        m_context.output->count("requests.duplicateForwards");
        return;
    }
    const RequestProfile &profile = forward.request;
    const PartitionId partition = m_locator.partition(profile);
    const RemoteWaiter waiter{ from.name, forward.attempt };
    if (m_context.draining)
        answer(waiter, notRun(reason::draining, defaultRetryAfter));
    else
        submit(profile, forward.bodyKey, partition, m_context.now + profile.timeLeft, waiter);
}

void Home::submit(const RequestProfile &profile, const BodyKey &body, const PartitionId &partition,
                  TimePoint deadline, Waiter waiter)
{
    const auto owned = m_partitions.find(partition);
    if (owned == m_partitions.end()) {
        answer(waiter, notRun(reason::noHome, defaultRetryAfter));
        return;
    }
    const std::string identity = HomeLocator::identityOf(profile);
    if (const auto active = m_active.find(identity); active != m_active.end()
        && active->second.profile.digest == profile.digest
        && active->second.state != ActiveRequest::State::Cancelled) {
        active->second.waiters.push_back(std::move(waiter));
        return;
    }
    if (const auto answered = existingAnswer(identity, profile)) {
        answer(waiter, *answered);
        return;
    }
    ActiveRequest active;
    active.profile = profile;
    active.body = body;
    active.partition = partition;
    active.acquisition = owned->second;
    active.intent = m_context.newAttempt();
    active.deadline = deadline;
    active.waiters.push_back(std::move(waiter));
    begin(identity, std::move(active));
}

std::optional<RequestAnswer> Home::existingAnswer(const std::string &identity,
                                                  const RequestProfile &profile) const
{
    if (const auto active = m_active.find(identity); active != m_active.end()) {
        return active->second.profile.digest != profile.digest
            ? notRun(reason::keyReused, Duration(0))
            : notRun(reason::intentNotDurable, defaultRetryAfter);
    }
    if (const auto record = m_identities.find(identity)) {
        if (record->digest != profile.digest)
            return notRun(reason::keyReused, Duration(0));
        return record->answer != nullptr ? *record->answer : unknown(reason::outcomeUnknown);
    }
    if (!m_context.storeReachable)
        return notRun(reason::intentNotDurable, defaultRetryAfter);
    return std::nullopt;
}

void Home::begin(const std::string &identity, ActiveRequest active)
{
    m_context.bodies.retain(active.body);
    m_deadlines.emplace(active.deadline, identity);
    const std::uint64_t ticket = ++m_lastTicket;
    m_tickets.emplace(ticket, identity);
    appendEntry(JournalEntry::Kind::RequestIntent, identity, active, ticket);
    m_active.emplace(identity, std::move(active));
}

void Home::appendEntry(JournalEntry::Kind kind, const std::string &identity,
                       const ActiveRequest &active, std::uint64_t ticket)
{
    JournalEntry entry;
    entry.kind = kind;
    entry.partition = active.partition;
    entry.identity = identity;
    entry.attempt = active.intent;
    entry.digest = active.profile.digest;
    m_context.output->raise(event::JournalAppend{ ticket, "requests", std::move(entry) });
}

void Home::journalResult(const event::JournalResult &result)
{
    const auto ticket = m_tickets.find(result.ticket);
    if (ticket == m_tickets.end())
        return;
    const auto found = m_active.find(ticket->second);
    m_tickets.erase(ticket);
    ActiveRequest &active = found->second;
    if (!result.durable) {
        finish(found, notRun(reason::intentNotDurable, defaultRetryAfter));
    } else if (!stillOwned(active)) {
        // The next owner has inherited the intent and answers with an unknown outcome.
        finish(found, notRun(reason::noHome, defaultRetryAfter));
    } else if (active.state == ActiveRequest::State::Cancelled
               || active.deadline <= m_context.now) {
        finish(found, notRun(reason::deadline, defaultRetryAfter));
    } else {
        m_deadlines.erase({ active.deadline, found->first });
        active.state = ActiveRequest::State::Running;
        m_operations.emplace(active.intent, found->first);
        m_dispatcher.start(Requester::Home, active.intent, active.profile, active.body,
                           active.deadline);
    }
}

void Home::operationFinished(const AttemptId &operation, const RequestAnswer &answer)
{
    if (const auto found = m_operations.find(operation); found != m_operations.end()) {
        const auto active = m_active.find(found->second);
        m_operations.erase(found);
        finish(active, answer);
    }
}

void Home::finish(ActiveRequests::iterator found, const RequestAnswer &answer)
{
    auto &[identity, active] = *found;
    m_deadlines.erase({ active.deadline, identity });
    switch (answer.kind) {
    case AnswerKind::Whole:
        m_identities.addAnswered(identity, active.profile.digest, answer);
        break;
    case AnswerKind::Unknown:
        m_identities.addUnknown(identity, active.profile.digest);
        break;
    case AnswerKind::NotRun:
        // Journaled so that the identity can be used again. Other outcomes are not journaled,
        // because the next home answers with an unknown outcome either way.
        if (answer.reason != reason::intentNotDurable && stillOwned(active))
            appendEntry(JournalEntry::Kind::RequestOutcome, identity, active, ++m_lastTicket);
        break;
    }
    answerWaiters(active, answer);
    m_context.bodies.release(active.body, *m_context.output);
    m_active.erase(found);
}

void Home::answerWaiters(ActiveRequest &active, const RequestAnswer &answerToAll)
{
    for (const auto &waiter : active.waiters)
        answer(waiter, answerToAll);
    active.waiters.clear();
}

void Home::answer(const Waiter &waiter, const RequestAnswer &answer)
{
    if (const auto *remote = std::get_if<RemoteWaiter>(&waiter)) {
        m_context.send(remote->daemon, message::ForwardReply{ remote->forward, answer, {}, {} });
    } else {
        m_context.reply(HomeReply{ std::get<LocalWaiter>(waiter).request, answer });
    }
}

void Home::acquired(const event::PartitionAcquired &partition)
{
    m_partitions[partition.partition] = ++m_lastAcquisition;
    std::map<std::string, std::map<AttemptId, std::uint64_t>> intents;
    for (const auto &entry : partition.inherited) {
        if (entry.kind == JournalEntry::Kind::RequestIntent)
            intents[entry.identity][entry.attempt] = entry.digest;
    }
    for (const auto &entry : partition.inherited) {
        if (entry.kind == JournalEntry::Kind::RequestOutcome)
            intents[entry.identity].erase(entry.attempt);
    }
    for (const auto &[identity, attempts] : intents) {
        if (!attempts.empty() && !m_active.contains(identity))
            m_identities.addUnknown(identity, attempts.begin()->second);
    }
}

void Home::lost(const PartitionId &partition)
{
    m_partitions.erase(partition);
}

bool Home::stillOwned(const ActiveRequest &active) const
{
    const auto owned = m_partitions.find(active.partition);
    return owned != m_partitions.end() && owned->second == active.acquisition;
}

void Home::tick()
{
    m_seenAttempts.expire(m_context.now);
    m_identities.expire();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_context.now) {
        ActiveRequest &active = m_active.at(m_deadlines.begin()->second);
        m_deadlines.erase(m_deadlines.begin());
        active.state = ActiveRequest::State::Cancelled;
        answerWaiters(active, notRun(reason::intentNotDurable, defaultRetryAfter));
    }
}

bool Home::idle() const noexcept
{
    return std::all_of(m_active.begin(), m_active.end(), [](const auto &entry) {
        return entry.second.state == ActiveRequest::State::Cancelled;
    });
}

} // namespace cowsliprock::requests
