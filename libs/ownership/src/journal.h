#pragma once

#include "context.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace cowsliprock::ownership {

/// Journal entries that are not durable yet, and the head of the journal in the daemon record.
/// Entries become durable in the order in which they were appended.
class Journal
{
public:
    void append(const event::JournalAppend &request, TimePoint now);

    /// Number of entries for the next write: those already sent, and new ones if \p includeNew.
    [[nodiscard]] std::size_t countToSend(bool includeNew) const noexcept;
    void markSent(std::size_t count) noexcept { m_sent = std::max(m_sent, count); }
    [[nodiscard]] bool hasUnsent() const noexcept { return m_pending.size() > m_sent; }

    /// Head of a write with the first \p count pending entries, without the first \p moved
    /// entries of the current head, which have been moved to a segment.
    [[nodiscard]] std::vector<std::string> buildHead(std::size_t count, std::size_t moved) const;

    /// Applies a write with the given counts that took effect.
    void confirm(std::size_t count, std::size_t moved, EventContext &context);

    /// Reports entries as not durable that were not sent within the time-out.
    void rejectExpired(EventContext &context);

    /// Reports all pending entries as not durable, because the record can no longer be written.
    void rejectAll(EventContext &context);

    [[nodiscard]] bool hasPendingFor(const PartitionId &partition) const;
    [[nodiscard]] bool hasPending() const noexcept { return !m_pending.empty(); }
    [[nodiscard]] const std::vector<std::string> &head() const noexcept { return m_head; }
    [[nodiscard]] std::size_t headBytes() const noexcept { return m_headBytes; }

private:
    struct PendingEntry
    {
        std::uint64_t ticket = 0;
        std::string stage;
        PartitionId partition;
        std::string text;
        TimePoint appendedAt;
    };

    void completeFirst(bool durable, EventContext &context);

    std::deque<PendingEntry> m_pending; ///< The first m_sent entries were part of a write.
    std::size_t m_sent = 0;
    std::vector<std::string> m_head;
    std::size_t m_headBytes = 0;
};

} // namespace cowsliprock::ownership
