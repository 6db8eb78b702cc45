#pragma once

#include "context.h"
#include "journal.h"
#include "storecalls.h"

#include <ownership/records.h>

#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace cowsliprock::ownership {

/// Keeps this daemon's record in the store: first write, renewal with journal group commit, end.
class Lease
{
public:
    /// What the rest of the stage learns from the lease.
    class Listener
    {
    public:
        virtual ~Listener() = default;
        virtual void leaseRenewed(EventContext &context) = 0;
        /// The record was ended by another daemon or replaced by another run of this name.
        virtual void leaseLost(EventContext &context) = 0;
        virtual void leaseEnded(EventContext &context) = 0;
        [[nodiscard]] virtual std::vector<DaemonIdentity> chooseSuccessors(TimePoint now) = 0;
    };

    enum class Phase {
        Reading, ///< The present record of this name is not known or belongs to an earlier run.
        Storing, ///< Writes the journal head of the earlier run to a segment.
        Active,  ///< Writes the record; owns something only once a write is confirmed.
        Ended    ///< Gave the record up at the end of a drain.
    };

    Lease(Shared &shared, StoreCalls &calls, Journal &journal, Listener &listener) noexcept;

    void tick(EventContext &context);

    /// Result of a read of this daemon's record, wanted while phase() is Reading.
    void handleOwnRecord(std::uint64_t version, const std::optional<DaemonRecord> &record,
                         EventContext &context);

    /// Writes the record as ended; nothing is written afterwards.
    void end() noexcept { m_ending = true; }

    [[nodiscard]] Phase phase() const noexcept { return m_phase; }
    [[nodiscard]] bool isConfirmed() const noexcept
    {
        return m_phase == Phase::Active && m_confirmedAt.has_value();
    }
    [[nodiscard]] bool isStoreReachable() const noexcept { return m_reachable; }

    /// When the last write that took effect was sent.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const noexcept { return m_confirmedAt; }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }

    /// Successors of the confirmed record and of every write with an unknown result. Empty if one
    /// of these names none: any daemon may take over from such a record without a promise.
    [[nodiscard]] std::set<DaemonIdentity> possibleSuccessors() const;
    [[nodiscard]] const std::vector<DaemonIdentity> &successors() const noexcept
    {
        return m_successors;
    }

private:
    /// A write whose result is not known. All of them expect the same version of the record, so
    /// at most one takes effect.
    struct Attempt
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt; ///< When it was first sent.
        std::size_t entryCount = 0;
        std::size_t droppedCount = 0;
        std::uint64_t segment = 0;
        std::vector<DaemonIdentity> successors;
        bool ending = false;

        [[nodiscard]] bool hasContentOf(const Attempt &other) const
        {
            return std::tie(entryCount, droppedCount, segment, successors, ending)
                == std::tie(other.entryCount, other.droppedCount, other.segment, other.successors,
                            other.ending);
        }
    };

    [[nodiscard]] bool isWriteDue(TimePoint now) const noexcept;
    [[nodiscard]] Attempt nextAttempt(TimePoint now);
    void write(EventContext &context);
    void handleWriteReply(std::uint64_t sequence, TimePoint sentAt, const event::StoreReply &reply,
                          EventContext &context);
    void handleConflict(const event::StoreReply &reply, EventContext &context);
    [[nodiscard]] bool confirm(std::uint64_t sequence, std::uint64_t version,
                               EventContext &context);
    void lose(std::uint64_t presentIncarnation, EventContext &context);
    void storeSegment(EventContext &context);
    void storeEarlierHead(const DaemonRecord &record, std::uint64_t number, EventContext &context);
    void adopt(std::uint64_t version, EventContext &context);
    void raiseIncarnation(std::uint64_t above, EventContext &context);

    Shared &m_shared;
    StoreCalls &m_calls;
    Journal &m_journal;
    Listener &m_listener;

    Phase m_phase = Phase::Reading;
    TimePoint m_startedAt;
    std::uint64_t m_version = 0;  ///< Version that the next write expects.
    std::uint64_t m_sequence = 0; ///< Of the last write sent.
    std::optional<TimePoint> m_confirmedAt;
    std::vector<DaemonIdentity> m_successors; ///< Of the confirmed record.
    std::vector<Attempt> m_attempts;
    bool m_writing = false;
    bool m_reachable = false;
    int m_failures = 0; ///< Writes without a reply since the last one with a reply.
    bool m_ending = false;
    TimePoint m_lastWriteAt;

    std::uint64_t m_segment = 0;      ///< Next segment of the confirmed record.
    std::size_t m_segmentEntries = 0; ///< Head entries of the segment that is written or stored.
    std::string m_segmentText;
    bool m_segmentStored = false;
    bool m_storing = false;
};

} // namespace cowsliprock::ownership
