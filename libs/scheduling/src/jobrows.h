#pragma once

#include "context.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cowsliprock::scheduling {

/// The rows of jobs in the store. The home is the only writer of a row; each row has at most one
/// write in flight, and all rows together at most 8, so that a burst does not overload the store.
///
/// A write whose reply was lost is sent again with the same expected version. The conflict that it
/// meets when it took effect returns the present value, which is compared with what was sent.
class JobRows
{
public:
    enum class Outcome {
        Durable,  ///< The row holds the value last asked for.
        Delayed,  ///< The store does not answer; the write is repeated until it is settled.
        Collision ///< The row of a new job exists with another value.
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

    /// Writes a job. The row of an unknown job is created and must not exist.
    void write(const AcceptedJob &job, const PartitionId &partition);

    /// Makes the row of a listed job known.
    void adopt(const JobId &job, const PartitionId &partition, std::uint64_t version);
    void forget(const JobId &job) { m_rows.erase(job); }
    [[nodiscard]] bool knows(const JobId &job) const { return m_rows.contains(job); }
    void dropPartition(const PartitionId &partition);

    /// True if the row holds the value last asked for.
    [[nodiscard]] bool settled(const JobId &job) const;

    /// Takes the reply if it answers a write of a row; results are appended.
    [[nodiscard]] bool handle(const event::StoreReply &reply, std::vector<Result> &results);

    /// Sends writes that are due. Sends none while this daemon is not a valid owner.
    void pump();

private:
    struct Row
    {
        PartitionId partition;
        std::uint64_t version = 0;
        std::string wanted;
        std::string sent;
        std::string firstSent; ///< Value of the creation, which may have taken effect unseen.
        Duration timeToLive{ 0 };
        bool inFlight = false;
        bool queued = false;
        unsigned failures = 0;
        TimePoint retryAt;
    };

    void enqueue(const JobId &job, Row &row);
    void send(const JobId &job, Row &row);
    void conflict(const JobId &job, Row &row, const event::StoreReply &reply,
                  std::vector<Result> &results);
    void written(const JobId &job, Row &row, std::uint64_t version, std::vector<Result> &results);

    Context &m_context;
    std::map<JobId, Row> m_rows;
    std::map<CallId, JobId> m_calls;
    std::deque<JobId> m_queue;
    std::uint64_t m_nextCall = 0;
};

} // namespace cowsliprock::scheduling
