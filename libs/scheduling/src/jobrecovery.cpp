#include "jobrecovery.h"

#include <kernel/serialization.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::scheduling {

namespace {

constexpr Duration listRetryDelay = std::chrono::seconds(1);

/// Delay of the second listing, which finds rows that the earlier home created after the first
/// one.
constexpr Duration relistDelay = std::chrono::seconds(5);

TaskPhase finalPhase(JobOutcome outcome) noexcept
{
    switch (outcome) {
    case JobOutcome::Succeeded:
        return TaskPhase::Succeeded;
    case JobOutcome::Failed:
        return TaskPhase::Failed;
    case JobOutcome::Cancelled:
        return TaskPhase::Stopped;
    case JobOutcome::None:
        break;
    }
    return TaskPhase::Recovering;
}

} // namespace

void JobRecovery::acquired(const event::PartitionAcquired &acquired)
{
    m_state.dropPartition(acquired.partition);
    Progress progress;
    for (const auto &entry : acquired.inherited) {
        if (entry.kind == JournalEntry::Kind::TaskIntent)
            progress.tasks[entry.identity].open.push_back({ entry.attempt, entry.worker });
    }
    for (const auto &entry : acquired.inherited) {
        if (entry.kind != JournalEntry::Kind::TaskEnd)
            continue;
        Inherited &task = progress.tasks[entry.identity];
        std::erase_if(task.open, [&](const auto &open) { return open.attempt == entry.attempt; });
        if (entry.digest == static_cast<std::uint64_t>(TaskState::Succeeded))
            task.succeeded = true;
    }
    progress.listAt = m_state.context.now;
    m_partitions[acquired.partition] = std::move(progress);
    tick();
}

void JobRecovery::tick()
{
    for (auto &[partition, progress] : m_partitions) {
        if (!progress.listing && progress.listAt <= m_state.context.now)
            list(partition, progress);
    }
}

void JobRecovery::list(const PartitionId &partition, Progress &progress)
{
    progress.listing = true;
    const CallId call("scheduling/" + m_state.context.settings.self.text() + "/list/"
                      + std::to_string(++m_nextCall));
    m_calls[call] = partition;
    m_state.context.perform(effect::StoreCall{
        call, effect::StoreCall::Operation::List, JobRows::prefixOf(partition), 0, {}, {} });
}

bool JobRecovery::handle(const event::StoreReply &reply)
{
    const auto call = m_calls.find(reply.call);
    if (call == m_calls.end())
        return false;
    const PartitionId partition = call->second;
    m_calls.erase(call);
    const auto iterator = m_partitions.find(partition);
    if (iterator == m_partitions.end())
        return true;
    Progress &progress = iterator->second;
    progress.listing = false;
    if (reply.status == event::StoreStatus::Unavailable) {
        progress.listAt = m_state.context.now + listRetryDelay;
        return true;
    }
    load(partition, progress, reply.rows);
    return true;
}

void JobRecovery::load(const PartitionId &partition, Progress &progress,
                       const std::vector<event::StoreRow> &rows)
{
    for (const auto &row : rows)
        loadRow(partition, progress, row);
    const bool first = !std::exchange(progress.loaded, true);
    progress.listAt = first
        ? std::max(m_state.context.now, m_state.context.owned.at(partition).usableFrom)
            + relistDelay
        : TimePoint::max();
    m_state.loaded.insert(partition);
    if (first)
        replayEarlyMessages();
}

void JobRecovery::loadRow(const PartitionId &partition, const Progress &progress,
                          const event::StoreRow &row)
{
    const auto decoded = decodeJob(row.value);
    if (!decoded.has_value()) {
        m_state.context.output->log("row " + row.key
                                    + " cannot be decoded as a job: " + decoded.error().text());
        return;
    }
    const AcceptedJob &accepted = decoded.value();
    if (m_state.job(accepted.id) != nullptr || m_state.rows.isTracked(accepted.id))
        return;
    m_state.rows.adopt(accepted.id, partition, row.version);
    Job &job = m_state.addJob(accepted, partition, finalPhase(accepted.outcome));
    if (job.ended())
        return;
    const Context &context = m_state.context;
    job.recoverUntil = std::max(context.now, context.owned.at(partition).usableFrom)
        + 2 * context.settings.pollInterval + std::chrono::seconds(2);
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        recoverTask({ &job, index }, progress);
    if (accepted.cancelled) {
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
            m_tasks.stop({ &job, index });
    }
    m_state.endIfComplete(job);
}

void JobRecovery::recoverTask(TaskReference reference, const Progress &progress)
{
    const Job &job = *reference.job;
    const auto iterator =
        progress.tasks.find(job.accepted.id.value() + "/" + std::to_string(reference.index));
    if (iterator != progress.tasks.end()) {
        reference.task().inherited = iterator->second.open;
        // A gang member may have succeeded in a round that failed as a whole.
        if (iterator->second.succeeded && !job.isGang() && !job.isService())
            return m_state.setPhase(reference, TaskPhase::Succeeded);
    }
    m_state.setDue(
        reference,
        std::max(m_state.context.now, m_state.context.owned.at(job.partition).usableFrom));
}

void JobRecovery::replayEarlyMessages()
{
    for (auto &[from, message] : std::exchange(m_state.earlyMessages, {})) {
        if (const auto *started = std::get_if<message::StartTaskReply>(&message))
            m_tasks.startReply(from, *started);
        else if (const auto *ended = std::get_if<message::TaskEnded>(&message))
            m_tasks.ended(*ended);
    }
}

} // namespace cowsliprock::scheduling
