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

/// Maintains this daemon's record in the store: initial write, renewal, which also group-commits
/// journal entries, and the final write that ends the record.
class Lease
{
public:
    /// Receives changes of the lease state.
    class Listener
    {
    public:
        virtual ~Listener() = default;
        virtual void leaseRenewed(EventContext &context) = 0;
        /// The record was ended by another daemon or replaced by another process with this name.
        virtual void leaseLost(EventContext &context) = 0;
        virtual void leaseEnded(EventContext &context) = 0;
        [[nodiscard]] virtual std::vector<DaemonIdentity> chooseSuccessors(TimePoint now) = 0;
    };

    enum class Phase {
        Reading, ///< The record of this name is unknown or belongs to a previous run.
        Storing, ///< Writes the journal head of the previous run to a segment.
        Active,  ///< Writes the record; the lease is held once a write is confirmed.
        Ended    ///< The record was ended after a drain.
    };

    Lease(SharedState &shared, StoreCalls &calls, Journal &journal, Listener &listener) noexcept;

    void tick(EventContext &context);

    /// Handles a read of this daemon's record; ignored unless phase() is Reading.
    void handleOwnRecord(std::uint64_t version, const std::optional<DaemonRecord> &record,
                         EventContext &context);

    /// Requests that the record be written as ended, which is the last write.
    void end() noexcept { m_ending = true; }

    [[nodiscard]] Phase phase() const noexcept { return m_phase; }
    [[nodiscard]] bool isConfirmed() const noexcept
    {
        return m_phase == Phase::Active && m_confirmedAt.has_value();
    }
    [[nodiscard]] bool isStoreReachable() const noexcept { return m_storeReachable; }

    /// Time at which the last write that took effect was sent.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const noexcept { return m_confirmedAt; }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }

    /// Successors named by the confirmed record and by every write with an unknown result. Empty
    /// if any of these names none, because such a record may be taken over by any daemon without a
    /// promise.
    [[nodiscard]] std::set<DaemonIdentity> possibleSuccessors() const;
    [[nodiscard]] const std::vector<DaemonIdentity> &successors() const noexcept
    {
        return m_successors;
    }

private:
    /// A write with an unknown result. All such writes expect the same version of the record, so
    /// at most one of them takes effect.
    struct Attempt
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt; ///< Time of the first send.
        std::size_t entryCount = 0;
        std::size_t movedCount = 0;
        std::uint64_t segment = 0;
        std::vector<DaemonIdentity> successors;
        bool ending = false;

        [[nodiscard]] bool hasSameContent(const Attempt &other) const
        {
            return std::tie(entryCount, movedCount, segment, successors, ending)
                == std::tie(other.entryCount, other.movedCount, other.segment, other.successors,
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
    void handleLoss(std::uint64_t currentIncarnation, EventContext &context);
    void storeSegment(EventContext &context);
    void storePreviousHead(const DaemonRecord &record, std::uint64_t number, EventContext &context);
    void activate(std::uint64_t version, EventContext &context);
    void raiseIncarnation(std::uint64_t above, EventContext &context);

    SharedState &m_shared;
    StoreCalls &m_calls;
    Journal &m_journal;
    Listener &m_listener;

    Phase m_phase = Phase::Reading;
    TimePoint m_startedAt;
    std::uint64_t m_version = 0;  ///< Version expected by the next write.
    std::uint64_t m_sequence = 0; ///< Of the last write sent.
    std::optional<TimePoint> m_confirmedAt;
    std::vector<DaemonIdentity> m_successors; ///< Of the confirmed record.
    std::vector<Attempt> m_attempts;
    bool m_writePending = false;
    bool m_storeReachable = false;
    int m_consecutiveFailures = 0; ///< Writes without a reply since the last reply.
    bool m_ending = false;
    TimePoint m_lastWriteAt;

    std::uint64_t m_segment = 0;      ///< Next segment number of the confirmed record.
    std::size_t m_segmentEntries = 0; ///< Number of head entries in the segment being written.
    std::string m_segmentText;
    bool m_segmentStored = false;
    bool m_segmentWritePending = false;
};

} // namespace cowsliprock::ownership
