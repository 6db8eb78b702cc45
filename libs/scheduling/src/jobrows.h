#pragma once

#include "context.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cowsliprock::scheduling {

/// Job rows in the store. The home is the only writer of a row. Each row has at most one write in
/// flight and all rows together at most 8, so that a burst does not overload the store.
///
/// A write whose reply was lost is retried with the same expected version. If the first write took
/// effect, the retry fails with a conflict that contains the current value, which is compared with
/// the value sent.
class JobRows
{
public:
    enum class Outcome {
        Durable,  ///< The row contains the latest requested value.
        Delayed,  ///< The store is unavailable; the write is retried until its result is known.
        Collision ///< The row of a new job already exists with a different value.
    };
    struct Result
    {
        JobId job;
        Outcome outcome = Outcome::Durable;
        bool cancelledElsewhere = false; ///< An earlier home marked the job as cancelled.
    };

    explicit JobRows(Context &context)
        : m_context(context)
    { }

    [[nodiscard]] static std::string prefixOf(const PartitionId &partition);

    /// Writes a job. The row of an untracked job is created and must not exist yet.
    void write(const AcceptedJob &job, const PartitionId &partition);

    /// Tracks the existing row of a listed job.
    void adopt(const JobId &job, const PartitionId &partition, std::uint64_t version);
    void forget(const JobId &job) { m_rows.erase(job); }
    [[nodiscard]] bool isTracked(const JobId &job) const { return m_rows.contains(job); }
    void dropPartition(const PartitionId &partition);

    /// True if the row contains the latest requested value.
    [[nodiscard]] bool upToDate(const JobId &job) const;

    /// Handles replies to row writes and appends their results. Returns false for any other reply.
    [[nodiscard]] bool handle(const event::StoreReply &reply, std::vector<Result> &results);

    /// Sends pending writes that are due. Sends nothing while this daemon is not a valid owner.
    void flush();

private:
    struct Row
    {
        PartitionId partition;
        std::uint64_t version = 0;
        std::string desired;
        std::string sent;
        std::string
            firstSent; ///< Value of the create call, which may have taken effect without a reply.
        Duration timeToLive{ 0 };
        bool inFlight = false;
        bool queued = false;
        unsigned failures = 0;
        TimePoint retryAt;
    };

    void enqueue(const JobId &job, Row &row);
    void send(const JobId &job, Row &row);
    void handleConflict(const JobId &job, Row &row, const event::StoreReply &reply,
                        std::vector<Result> &results);
    void handleWritten(const JobId &job, Row &row, std::uint64_t version,
                       std::vector<Result> &results);

    Context &m_context;
    std::map<JobId, Row> m_rows;
    std::map<CallId, JobId> m_calls;
    std::deque<JobId> m_queue;
    std::uint64_t m_nextCall = 0;
};

} // namespace cowsliprock::scheduling
