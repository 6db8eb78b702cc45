#include "lease.h"

#include <algorithm>

namespace cowsliprock::ownership {

namespace {

// Larger heads make every renewal larger; smaller ones make more segments.
constexpr std::size_t maxHeadBytes = 16'384;
// A single lost reply delays the journal only a little; an outage is probed once a second.
constexpr Duration firstRetryInterval = std::chrono::milliseconds(200);
constexpr Duration retryInterval = std::chrono::seconds(1);

} // namespace

Lease::Lease(Shared &shared, StoreCalls &calls, Journal &journal, Listener &listener) noexcept
    : m_shared(shared)
    , m_calls(calls)
    , m_journal(journal)
    , m_listener(listener)
{ }

void Lease::tick(EventContext &context)
{
    if (m_phase != Phase::Active)
        return;
    m_journal.refuseOld(context);
    if (!m_writing && isWriteDue(context.now))
        write(context);
    if (!m_storing && !m_segmentStored && m_reachable && m_journal.headBytes() > maxHeadBytes)
        storeSegment(context);
}

bool Lease::isWriteDue(TimePoint now) const noexcept
{
    const Duration sinceLast = now - m_lastWriteAt;
    if (m_ending || !m_reachable)
        return sinceLast >= (m_failures > 1 ? retryInterval : firstRetryInterval);
    return sinceLast >= m_shared.settings.renewInterval
        || (m_journal.hasUnsent() && sinceLast >= m_shared.settings.journalInterval);
}

void Lease::handleOwnRecord(std::uint64_t version, const std::optional<DaemonRecord> &record,
                            EventContext &context)
{
    if (m_phase != Phase::Reading)
        return;
    if (!record)
        return adopt(version, context);
    if (record->incarnation >= m_shared.self.incarnation)
        raiseIncarnation(record->incarnation, context);
    // An earlier run that has not ended may still hold its partitions. It is taken over like any
    // other daemon before its record is replaced.
    if (!record->ended)
        return;
    m_version = version;
    if (record->head.empty())
        return adopt(version, context);
    storeEarlierHead(*record, record->segment, context);
}

void Lease::storeEarlierHead(const DaemonRecord &record, std::uint64_t number,
                             EventContext &context)
{
    m_phase = Phase::Storing;
    const DaemonIdentity earlier{ m_shared.self.name, record.incarnation };
    const std::string text = encodeSegment({ record.age, record.head });
    m_calls.compareAndSwap(
        segmentKey(earlier, number), 0, text,
        [this, record, number, text](const event::StoreReply &reply, EventContext &inner) {
            if (reply.status == event::StoreStatus::Unavailable)
                m_phase = Phase::Reading;
            else if (reply.status == event::StoreStatus::Ok || reply.value == text)
                adopt(m_version, inner);
            else // The earlier run stored a shorter head and ended before it shortened its record.
                storeEarlierHead(record, number + 1, inner);
        },
        context);
}

void Lease::adopt(std::uint64_t version, EventContext &context)
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
    attempt.entryCount = m_journal.countToSend(m_reachable);
    attempt.droppedCount = m_segmentStored ? m_segmentEntries : 0;
    attempt.segment = m_segment + (m_segmentStored ? 1 : 0);
    attempt.successors = m_listener.chooseSuccessors(now);
    attempt.ending = m_ending;
    return attempt;
}

void Lease::write(EventContext &context)
{
    Attempt attempt = nextAttempt(context.now);
    // A repeated write keeps its sequence, so that an outage leaves few attempts to remember.
    const bool repeated = !m_attempts.empty() && m_attempts.back().hasContentOf(attempt);
    attempt.sequence = repeated ? m_sequence : ++m_sequence;
    m_journal.markSent(attempt.entryCount);

    DaemonRecord record;
    record.incarnation = m_shared.self.incarnation;
    record.sequence = attempt.sequence;
    record.successors = attempt.successors;
    record.segment = attempt.segment;
    record.age = context.now - m_startedAt;
    record.head = m_journal.headWith(attempt.entryCount, attempt.droppedCount);
    record.ended = attempt.ending;

    m_writing = true;
    m_lastWriteAt = context.now;
    if (!repeated)
        m_attempts.push_back(std::move(attempt));
    m_calls.compareAndSwap(
        daemonKey(m_shared.self.name), m_version, encodeRecord(record),
        [this, self = m_shared.self, sequence = record.sequence,
         sentAt = context.now](const event::StoreReply &reply, EventContext &inner) {
            if (self != m_shared.self)
                return;
            m_writing = false;
            handleWriteReply(sequence, sentAt, reply, inner);
        },
        context);
}

void Lease::handleWriteReply(std::uint64_t sequence, TimePoint sentAt,
                             const event::StoreReply &reply, EventContext &context)
{
    if (reply.status == event::StoreStatus::Unavailable) {
        if (m_reachable)
            context.output.log("store not reachable");
        m_reachable = false;
        ++m_failures;
        return;
    }
    m_reachable = true;
    m_failures = 0;
    if (reply.status != event::StoreStatus::Ok)
        return handleConflict(reply, context);
    // This very call took effect, not an earlier one with the same sequence.
    for (auto &attempt : m_attempts) {
        if (attempt.sequence == sequence)
            attempt.sentAt = sentAt;
    }
    static_cast<void>(confirm(sequence, reply.version, context));
}

void Lease::handleConflict(const event::StoreReply &reply, EventContext &context)
{
    const auto present = decodeDaemonRecord(reply.value);
    if (!present || present.value().incarnation != m_shared.self.incarnation)
        return lose(present ? present.value().incarnation : 0, context);
    const auto &record = present.value();
    const bool own = confirm(record.sequence, reply.version, context);
    if (m_phase == Phase::Ended)
        return;
    if (record.ended)
        return lose(record.incarnation, context);
    // A record of this incarnation that no attempt explains comes from another process of the
    // same identity.
    if (!own)
        lose(record.incarnation, context);
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
    m_journal.confirm(attempt.entryCount, attempt.droppedCount, context);
    if (attempt.droppedCount > 0) {
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

void Lease::lose(std::uint64_t presentIncarnation, EventContext &context)
{
    context.output.log("lease of " + m_shared.self.text() + " lost");
    context.output.count("ownership.leaseLost");
    m_journal.refuseAll(context);
    m_phase = Phase::Reading;
    m_attempts.clear();
    m_confirmedAt.reset();
    m_successors.clear();
    m_writing = m_storing = m_segmentStored = false;
    m_segment = 0;
    m_segmentText.clear();
    raiseIncarnation(std::max(presentIncarnation, m_shared.self.incarnation), context);
    m_listener.leaseLost(context);
}

void Lease::raiseIncarnation(std::uint64_t above, EventContext &context)
{
    m_shared.self.incarnation = above + 1;
    context.output.perform(effect::SetIncarnation{ m_shared.self.incarnation });
    context.output.log("continues as " + m_shared.self.text());
}

void Lease::storeSegment(EventContext &context)
{
    // The content is fixed until the result is known, so that a create that took effect with a
    // lost reply is recognised by its content.
    if (m_segmentText.empty()) {
        m_segmentEntries = m_journal.head().size();
        m_segmentText = encodeSegment({ context.now - m_startedAt, m_journal.head() });
    }
    m_storing = true;
    m_calls.compareAndSwap(
        segmentKey(m_shared.self, m_segment), 0, m_segmentText,
        [this, self = m_shared.self](const event::StoreReply &reply, EventContext &) {
            if (self != m_shared.self)
                return;
            m_storing = false;
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
