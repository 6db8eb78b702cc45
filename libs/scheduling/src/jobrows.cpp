#include "jobrows.h"

#include <kernel/serialization.h>

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

constexpr std::size_t maximumWritesInFlight = 8;
constexpr Duration initialRetryDelay = std::chrono::milliseconds(300);
constexpr Duration maximumRetryDelay = std::chrono::seconds(2);

} // namespace

std::string JobRows::prefixOf(const PartitionId &partition)
{
    return "/jobs/" + partition.value() + "/";
}

void JobRows::write(const AcceptedJob &job, const PartitionId &partition)
{
    Row &row = m_rows[job.id];
    row.partition = partition;
    row.desired = encodeJob(job);
    // Rows of ended jobs are retained as long as the corresponding journal entries.
    row.timeToLive =
        job.outcome == JobOutcome::None ? Duration{ 0 } : m_context.settings.identityRetention;
    if (row.firstSent.empty() && row.version == 0)
        row.firstSent = row.desired;
    enqueue(job.id, row);
}

void JobRows::adopt(const JobId &job, const PartitionId &partition, std::uint64_t version)
{
    Row &row = m_rows[job];
    row.partition = partition;
    row.version = version;
}

void JobRows::dropPartition(const PartitionId &partition)
{
    std::erase_if(m_rows, [&](const auto &entry) { return entry.second.partition == partition; });
}

bool JobRows::upToDate(const JobId &job) const
{
    const auto iterator = m_rows.find(job);
    return iterator != m_rows.end() && !iterator->second.inFlight && !iterator->second.queued;
}

void JobRows::enqueue(const JobId &job, Row &row)
{
    if (row.inFlight || row.queued)
        return;
    row.queued = true;
    m_queue.push_back(job);
}

void JobRows::flush()
{
    if (!m_context.valid())
        return;
    std::size_t waiting = m_queue.size();
    while (waiting-- > 0 && m_calls.size() < maximumWritesInFlight) {
        const JobId job = m_queue.front();
        m_queue.pop_front();
        const auto iterator = m_rows.find(job);
        if (iterator == m_rows.end())
            continue;
        if (m_context.now < iterator->second.retryAt)
            m_queue.push_back(job);
        else
            send(job, iterator->second);
    }
}

void JobRows::send(const JobId &job, Row &row)
{
    row.queued = false;
    row.inFlight = true;
    row.sent = row.desired;
    const CallId call("scheduling/" + m_context.settings.self.text() + "/row/"
                      + std::to_string(++m_nextCall));
    m_calls[call] = job;
    m_context.perform(effect::StoreCall{ call, effect::StoreCall::Operation::CompareAndSwap,
                                         prefixOf(row.partition) + job.value(), row.version,
                                         row.sent, row.timeToLive });
}

bool JobRows::handle(const event::StoreReply &reply, std::vector<Result> &results)
{
    const auto call = m_calls.find(reply.call);
    if (call == m_calls.end())
        return false;
    const JobId job = call->second;
    m_calls.erase(call);
    const auto iterator = m_rows.find(job);
    if (iterator == m_rows.end())
        return true;
    Row &row = iterator->second;
    row.inFlight = false;
    switch (reply.status) {
    case event::StoreStatus::Ok:
        handleWritten(job, row, reply.version, results);
        break;
    case event::StoreStatus::Conflict:
        handleConflict(job, row, reply, results);
        break;
    case event::StoreStatus::NotFound:
    case event::StoreStatus::Unavailable:
        ++row.failures;
        row.retryAt = m_context.now
            + std::min(maximumRetryDelay, initialRetryDelay * (1 << std::min(row.failures, 4U)));
        enqueue(job, row);
        results.push_back({ job, Outcome::Delayed, false });
        break;
    }
    return true;
}

void JobRows::handleWritten(const JobId &job, Row &row, std::uint64_t version,
                            std::vector<Result> &results)
{
    row.version = version;
    row.failures = 0;
    if (row.desired == row.sent)
        results.push_back({ job, Outcome::Durable, false });
    else
        enqueue(job, row);
}

void JobRows::handleConflict(const JobId &job, Row &row, const event::StoreReply &reply,
                             std::vector<Result> &results)
{
    if (reply.version != 0 && reply.value == row.sent)
        return handleWritten(job, row, reply.version, results);
    const bool creating = row.version == 0;
    if (creating && reply.version != 0 && reply.value != row.firstSent) {
        m_rows.erase(job);
        results.push_back({ job, Outcome::Collision, false });
        return;
    }
    // The last write was made by an earlier home, or the row has expired.
    row.version = reply.version;
    if (const auto present = decodeJob(reply.value);
        !creating && present.has_value() && present.value().cancelled)
        results.push_back({ job, Outcome::Delayed, true });
    enqueue(job, row);
}

} // namespace cowsliprock::scheduling
