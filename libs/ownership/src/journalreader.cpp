#include "journalreader.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::ownership {

namespace {

constexpr Duration retryInterval = std::chrono::milliseconds(500);

void decodeInto(JournalReader::Entries &entries, const std::vector<std::string> &texts,
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
    auto [position, isNew] = m_loads.try_emplace(identity);
    position->second.handlers.push_back(std::move(handler));
    if (isNew)
        readRecord(identity, context);
}

void JournalReader::tick(EventContext &context)
{
    for (auto &[identity, load] : m_loads) {
        if (load.retryAt && context.now >= *load.retryAt) {
            load.retryAt.reset();
            readRecord(identity, context);
        }
    }
}

void JournalReader::readRecord(const DaemonIdentity &identity, EventContext &context)
{
    // The record is read before the segments: a head that moves to a segment between the two reads
    // is then seen twice, never missed.
    m_calls.get(
        daemonKey(identity.name),
        [this, identity](const event::StoreReply &reply, EventContext &inner) {
            auto &load = m_loads[identity];
            if (reply.status == event::StoreStatus::Unavailable) {
                load.retryAt = inner.now + retryInterval;
                return;
            }
            const auto record = decodeDaemonRecord(reply.value);
            load.record = record && record.value().incarnation == identity.incarnation
                ? record.value()
                : DaemonRecord{};
            readSegments(identity, inner);
        },
        context);
}

void JournalReader::readSegments(const DaemonIdentity &identity, EventContext &context)
{
    m_calls.list(
        journalPrefix(identity),
        [this, identity](const event::StoreReply &reply, EventContext &inner) {
            if (reply.status == event::StoreStatus::Unavailable)
                m_loads[identity].retryAt = inner.now + retryInterval;
            else
                finish(identity, reply.rows, inner);
        },
        context);
}

void JournalReader::finish(const DaemonIdentity &identity, const std::vector<event::StoreRow> &rows,
                           EventContext &context)
{
    const Load load = std::move(m_loads.extract(identity).mapped());
    const Entries entries = decodeAll(load.record, rows, context);
    for (const auto &handler : load.handlers)
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
        // Both ages are of the incarnation's own clock.
        if (age - segment.age <= m_shared.settings.identityRetention)
            decodeInto(entries, segment.entries, context);
    }
    decodeInto(entries, record.head, context);
    return entries;
}

} // namespace cowsliprock::ownership
