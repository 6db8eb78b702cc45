#pragma once

#include "context.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace cowsliprock::ownership {

/// Journal entries that wait to become durable, and the head of the journal in the daemon record.
/// Entries become durable in the order of their arrival.
class Journal
{
public:
    void append(const event::JournalAppend &request, TimePoint now);

    /// Entries for the next write: those that were sent before, and new ones if \p includeNew.
    [[nodiscard]] std::size_t countToSend(bool includeNew) const noexcept;
    void markSent(std::size_t count) noexcept { m_sent = std::max(m_sent, count); }
    [[nodiscard]] bool hasUnsent() const noexcept { return m_waiting.size() > m_sent; }

    /// Head of a write that carries the first \p count waiting entries, without the first
    /// \p dropped entries, which are in a segment.
    [[nodiscard]] std::vector<std::string> headWith(std::size_t count, std::size_t dropped) const;

    /// A write with the given counts took effect.
    void confirm(std::size_t count, std::size_t dropped, EventContext &context);

    /// Answers "not durable" for entries that were not sent within the time limit.
    void refuseOld(EventContext &context);

    /// The record can no longer be written: all waiting entries will never become durable.
    void refuseAll(EventContext &context);

    [[nodiscard]] bool waitsFor(const PartitionId &partition) const;
    [[nodiscard]] bool hasWaiting() const noexcept { return !m_waiting.empty(); }
    [[nodiscard]] const std::vector<std::string> &head() const noexcept { return m_head; }
    [[nodiscard]] std::size_t headBytes() const noexcept { return m_headBytes; }

private:
    struct Waiting
    {
        std::uint64_t ticket = 0;
        std::string stage;
        PartitionId partition;
        std::string text;
        TimePoint since;
    };

    void answerFirst(bool durable, EventContext &context);

    std::deque<Waiting> m_waiting; ///< The first m_sent entries were part of some write.
    std::size_t m_sent = 0;
    std::vector<std::string> m_head;
    std::size_t m_headBytes = 0;
};

} // namespace cowsliprock::ownership
