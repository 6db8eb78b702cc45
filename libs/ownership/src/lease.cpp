#include "lease.h"

#include <algorithm>

namespace cowsliprock::ownership {

namespace {

// A larger limit makes every renewal larger; a smaller one creates more segments.
constexpr std::size_t maxHeadBytes = 16'384;
// A single lost reply delays the journal only briefly; during an outage the store is probed once a
// second.
constexpr Duration firstRetryInterval = std::chrono::milliseconds(200);
constexpr Duration retryInterval = std::chrono::seconds(1);

} // namespace

Lease::Lease(SharedState &shared, StoreCalls &calls, Journal &journal, Listener &listener) noexcept
    : m_shared(shared)
    , m_calls(calls)
    , m_journal(journal)
    , m_listener(listener)
{ }

void Lease::tick(EventContext &context)
{
    if (m_phase != Phase::Active)
        return;
    m_journal.rejectExpired(context);
    if (!m_writePending && isWriteDue(context.now))
        write(context);
    if (!m_segmentWritePending && !m_segmentStored && m_storeReachable
        && m_journal.headBytes() > maxHeadBytes)
        storeSegment(context);
}

bool Lease::isWriteDue(TimePoint now) const noexcept
{
    const Duration sinceLast = now - m_lastWriteAt;
    if (m_ending || !m_storeReachable)
        return sinceLast >= (m_consecutiveFailures > 1 ? retryInterval : firstRetryInterval);
    return sinceLast >= m_shared.settings.renewInterval
        || (m_journal.hasUnsent() && sinceLast >= m_shared.settings.journalInterval);
}

void Lease::handleOwnRecord(std::uint64_t version, const std::optional<DaemonRecord> &record,
                            EventContext &context)
{
    if (m_phase != Phase::Reading)
        return;
    if (!record)
        return activate(version, context);
    if (record->incarnation >= m_shared.self.incarnation)
        raiseIncarnation(record->incarnation, context);
    // A previous run that has not ended may still hold its partitions. It is taken over like any
    // other daemon before its record is replaced.
    if (!record->ended)
        return;
    m_version = version;
    if (record->head.empty())
        return activate(version, context);
    storePreviousHead(*record, record->segment, context);
}

void Lease::storePreviousHead(const DaemonRecord &record, std::uint64_t number,
                              EventContext &context)
{
    m_phase = Phase::Storing;
    const DaemonIdentity previous{ m_shared.self.name, record.incarnation };
    const std::string text = encodeSegment({ record.age, record.head });
    m_calls.compareAndSwap(
        segmentKey(previous, number), 0, text,
        [this, record, number, text](const event::StoreReply &reply, EventContext &handlerContext) {
            if (reply.status == event::StoreStatus::Unavailable)
                m_phase = Phase::Reading;
            else if (reply.status == event::StoreStatus::Ok || reply.value == text)
                activate(m_version, handlerContext);
            else // Previous run stored a shorter head, then ended before shortening its record.
                storePreviousHead(record, number + 1, handlerContext);
        },
        context);
}

void Lease::activate(std::uint64_t version, EventContext &context)
{
    m_phase = Phase::Active;
    m_version = version;
    m_sequence = 0;
    m_startedAt = context.now;
    write(context);
}

Lease::Attempt Lease::nextAttempt(TimePoint now)
{
    Attempt attempt;
    attempt.sentAt = now;
    attempt.entryCount = m_journal.countToSend(m_storeReachable);
    attempt.movedCount = m_segmentStored ? m_segmentEntries : 0;
    attempt.segment = m_segment + (m_segmentStored ? 1 : 0);
    attempt.successors = m_listener.chooseSuccessors(now);
    attempt.ending = m_ending;
    return attempt;
}

void Lease::write(EventContext &context)
{
    Attempt attempt = nextAttempt(context.now);
    // A repeated write keeps its sequence number, which bounds the attempts kept during an outage.
    const bool repeated = !m_attempts.empty() && m_attempts.back().hasSameContent(attempt);
    attempt.sequence = repeated ? m_sequence : ++m_sequence;
    m_journal.markSent(attempt.entryCount);

    DaemonRecord record;
    record.incarnation = m_shared.self.incarnation;
    record.sequence = attempt.sequence;
    record.successors = attempt.successors;
    record.segment = attempt.segment;
    record.age = context.now - m_startedAt;
    record.head = m_journal.buildHead(attempt.entryCount, attempt.movedCount);
    record.ended = attempt.ending;

    m_writePending = true;
    m_lastWriteAt = context.now;
    if (!repeated)
        m_attempts.push_back(std::move(attempt));
    m_calls.compareAndSwap(
        daemonKey(m_shared.self.name), m_version, encodeRecord(record),
        [this, self = m_shared.self, sequence = record.sequence,
         sentAt = context.now](const event::StoreReply &reply, EventContext &handlerContext) {
            if (self != m_shared.self)
                return;
            m_writePending = false;
            handleWriteReply(sequence, sentAt, reply, handlerContext);
        },
        context);
}

void Lease::handleWriteReply(std::uint64_t sequence, TimePoint sentAt,
                             const event::StoreReply &reply, EventContext &context)
{
    if (reply.status == event::StoreStatus::Unavailable) {
        if (m_storeReachable)
            context.output.log("store is unreachable");
        m_storeReachable = false;
        ++m_consecutiveFailures;
        return;
    }
    m_storeReachable = true;
    m_consecutiveFailures = 0;
    if (reply.status != event::StoreStatus::Ok)
        return handleConflict(reply, context);
    // This call took effect, not an earlier one with the same sequence number.
    for (auto &attempt : m_attempts) {
        if (attempt.sequence == sequence)
            attempt.sentAt = sentAt;
    }
    static_cast<void>(confirm(sequence, reply.version, context));
}

void Lease::handleConflict(const event::StoreReply &reply, EventContext &context)
{
    const auto current = decodeDaemonRecord(reply.value);
    if (!current || current.value().incarnation != m_shared.self.incarnation)
        return handleLoss(current ? current.value().incarnation : 0, context);
    const auto &record = current.value();
    const bool isOwn = confirm(record.sequence, reply.version, context);
    if (m_phase == Phase::Ended)
        return;
    if (record.ended)
        return handleLoss(record.incarnation, context);
    // A record of this incarnation that matches no attempt was written by another process with the
    // same identity.
    if (!isOwn)
        handleLoss(record.incarnation, context);
    else if (m_phase == Phase::Active)
        write(context);
}

bool Lease::confirm(std::uint64_t sequence, std::uint64_t version, EventContext &context)
{
    const auto found =
        std::find_if(m_attempts.begin(), m_attempts.end(),
                     [sequence](const Attempt &attempt) { return attempt.sequence == sequence; });
    if (found == m_attempts.end())
        return false;
    const Attempt attempt = std::move(*found);
    m_attempts.clear();
    m_version = version;
    m_confirmedAt = attempt.sentAt;
    m_successors = attempt.successors;
    m_journal.confirm(attempt.entryCount, attempt.movedCount, context);
    if (attempt.movedCount > 0) {
        m_segment = attempt.segment;
        m_segmentStored = false;
    }
    if (attempt.ending) {
        m_phase = Phase::Ended;
        m_listener.leaseEnded(context);
    } else {
        m_listener.leaseRenewed(context);
    }
    return true;
}

void Lease::handleLoss(std::uint64_t currentIncarnation, EventContext &context)
{
    context.output.log("lease of " + m_shared.self.text() + " was lost");
    context.output.count("ownership.leaseLost");
    m_journal.rejectAll(context);
    m_phase = Phase::Reading;
    m_attempts.clear();
    m_confirmedAt.reset();
    m_successors.clear();
    m_writePending = m_segmentWritePending = m_segmentStored = false;
    m_segment = 0;
    m_segmentText.clear();
    raiseIncarnation(std::max(currentIncarnation, m_shared.self.incarnation), context);
    m_listener.leaseLost(context);
}

void Lease::raiseIncarnation(std::uint64_t above, EventContext &context)
{
    m_shared.self.incarnation = above + 1;
    context.output.perform(effect::SetIncarnation{ m_shared.self.incarnation });
    context.output.log("continuing under the new incarnation " + m_shared.self.text());
}

void Lease::storeSegment(EventContext &context)
{
    // The content does not change until the result is known, so that a create whose reply was lost
    // is recognised by its content.
    if (m_segmentText.empty()) {
        m_segmentEntries = m_journal.head().size();
        m_segmentText = encodeSegment({ context.now - m_startedAt, m_journal.head() });
    }
    m_segmentWritePending = true;
    m_calls.compareAndSwap(
        segmentKey(m_shared.self, m_segment), 0, m_segmentText,
        [this, self = m_shared.self](const event::StoreReply &reply, EventContext &) {
            if (self != m_shared.self)
                return;
            m_segmentWritePending = false;
            if (reply.status == event::StoreStatus::Ok || reply.value == m_segmentText) {
                m_segmentStored = true;
                m_segmentText.clear();
            }
        },
        context);
}

std::set<DaemonIdentity> Lease::possibleSuccessors() const
{
    std::set<DaemonIdentity> result(m_successors.begin(), m_successors.end());
    if (m_successors.empty())
        return {};
    for (const auto &attempt : m_attempts) {
        if (attempt.successors.empty())
            return {};
        result.insert(attempt.successors.begin(), attempt.successors.end());
    }
    return result;
}

} // namespace cowsliprock::ownership
