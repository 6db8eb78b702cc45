#include "journalreader.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::ownership {

namespace {

constexpr Duration retryInterval = std::chrono::milliseconds(500);

void appendDecoded(JournalReader::Entries &entries, const std::vector<std::string> &texts,
                   EventContext &context)
{
    for (const auto &text : texts) {
        if (auto entry = decodeEntry(text))
            entries.push_back(std::move(entry).value());
        else
            context.output.count("ownership.malformedEntry");
    }
}

} // namespace

void JournalReader::read(const DaemonIdentity &identity, Handler handler, EventContext &context)
{
    auto [position, isNew] = m_pendingReads.try_emplace(identity);
    position->second.handlers.push_back(std::move(handler));
    if (isNew)
        readRecord(identity, context);
}

void JournalReader::tick(EventContext &context)
{
    for (auto &[identity, pendingRead] : m_pendingReads) {
        if (pendingRead.retryAt && context.now >= *pendingRead.retryAt) {
            pendingRead.retryAt.reset();
            readRecord(identity, context);
        }
    }
}

void JournalReader::readRecord(const DaemonIdentity &identity, EventContext &context)
{
    // The record is read before the segments, so that entries that are moved from the head to a
    // segment between the two reads are read twice rather than missed.
    m_calls.get(
        daemonKey(identity.name),
        [this, identity](const event::StoreReply &reply, EventContext &handlerContext) {
            auto &pendingRead = m_pendingReads[identity];
            if (reply.status == event::StoreStatus::Unavailable) {
                pendingRead.retryAt = handlerContext.now + retryInterval;
                return;
            }
            const auto record = decodeDaemonRecord(reply.value);
            pendingRead.record = record && record.value().incarnation == identity.incarnation
                ? record.value()
                : DaemonRecord{};
            readSegments(identity, handlerContext);
        },
        context);
}

void JournalReader::readSegments(const DaemonIdentity &identity, EventContext &context)
{
    m_calls.list(
        journalPrefix(identity),
        [this, identity](const event::StoreReply &reply, EventContext &handlerContext) {
            if (reply.status == event::StoreStatus::Unavailable)
                m_pendingReads[identity].retryAt = handlerContext.now + retryInterval;
            else
                completeRead(identity, reply.rows, handlerContext);
        },
        context);
}

void JournalReader::completeRead(const DaemonIdentity &identity,
                                 const std::vector<event::StoreRow> &rows, EventContext &context)
{
    const PendingRead pendingRead = std::move(m_pendingReads.extract(identity).mapped());
    const Entries entries = decodeAll(pendingRead.record, rows, context);
    for (const auto &handler : pendingRead.handlers)
        handler(entries, context);
}

JournalReader::Entries JournalReader::decodeAll(const DaemonRecord &record,
                                                const std::vector<event::StoreRow> &rows,
                                                EventContext &context) const
{
    std::vector<JournalSegment> segments;
    Duration age = record.age;
    for (const auto &row : rows) {
        if (auto segment = decodeSegment(row.value)) {
            age = std::max(age, segment.value().age);
            segments.push_back(std::move(segment).value());
        } else {
            context.output.count("ownership.malformedSegment");
        }
    }
    Entries entries;
    for (const auto &segment : segments) {
        // Both ages were measured with the clock of the same incarnation.
        if (age - segment.age <= m_shared.settings.identityRetention)
            appendDecoded(entries, segment.entries, context);
    }
    appendDecoded(entries, record.head, context);
    return entries;
}

} // namespace cowsliprock::ownership
