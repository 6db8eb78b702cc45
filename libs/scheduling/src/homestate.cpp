#include "homestate.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

/// Limits for ended jobs kept in memory for status queries; their rows are retained longer.
constexpr Duration endedJobRetention = std::chrono::hours(1);
constexpr std::size_t maximumEndedJobs = 5'000;

/// Waiting jobs are requeued in queue order when capacity becomes free. The timer covers jobs that
/// are queued behind jobs that cannot be placed. With 10,000 waiting jobs it causes 1,000 to 2,000
/// scheduling decisions per second.
constexpr Duration minimumBackOff = std::chrono::milliseconds(200);
constexpr Duration maximumBackOff = std::chrono::seconds(10);
constexpr Duration maximumUrgentBackOff = std::chrono::milliseconds(500);

std::string taskIdentity(const JobId &job, std::uint32_t index)
{
    return job.value() + "/" + std::to_string(index);
}

} // namespace

Job &HomeState::addJob(const AcceptedJob &accepted, const PartitionId &partition, TaskPhase phase)
{
    Job &job = m_jobs[accepted.id];
    job.accepted = accepted;
    job.partition = partition;
    job.epoch = context.owned.at(partition).epoch;
    job.arrival = ++m_nextArrival;
    job.acceptedAt = context.now;
    if (accepted.definition.deadline > Duration{ 0 })
        job.deadlineAt = context.now + accepted.definition.deadline;
    job.tasks.resize(accepted.definition.taskCount);
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        job.tasks[index].phase = phase;
        job.tasks[index].queuedAt = context.now;
        if (phase == TaskPhase::Queued)
            job.pending.insert(index);
    }
    if (accepted.outcome != JobOutcome::None)
        m_ended.emplace_back(context.now, accepted.id);
    return job;
}

Job *HomeState::job(const JobId &id)
{
    const auto iterator = m_jobs.find(id);
    return iterator == m_jobs.end() ? nullptr : &iterator->second;
}

std::optional<TaskReference> HomeState::find(const AttemptId &attempt)
{
    const auto name = AttemptName::parse(attempt);
    Job *owner = name ? job(name->job) : nullptr;
    if (owner == nullptr || name->index >= owner->tasks.size()
        || owner->tasks[name->index].attempt != attempt)
        return std::nullopt;
    return TaskReference{ owner, name->index };
}

AttemptId HomeState::newAttempt(Job &job, std::uint32_t index)
{
    return AttemptName::make(job.accepted.id, index, job.epoch, ++job.attemptNumber, job.partition);
}

void HomeState::dropPartition(const PartitionId &partition)
{
    for (auto iterator = m_jobs.begin(); iterator != m_jobs.end();) {
        Job &dropped = iterator->second;
        if (dropped.partition != partition) {
            ++iterator;
            continue;
        }
        dequeue(dropped);
        for (std::uint32_t index = 0; index < dropped.tasks.size(); ++index)
            releaseUsage({ &dropped, index });
        iterator = m_jobs.erase(iterator);
    }
    rows.dropPartition(partition);
    loaded.erase(partition);
}

void HomeState::setPhase(TaskReference reference, TaskPhase phase)
{
    Job &job = *reference.job;
    Task &task = reference.task();
    const bool wasFinal = isFinal(task.phase);
    job.finalTasks += isFinal(phase) && !wasFinal ? 1 : 0;
    job.failedTasks += phase == TaskPhase::Failed && task.phase != TaskPhase::Failed ? 1 : 0;
    if (phase == TaskPhase::Queued && task.phase != TaskPhase::Queued)
        job.pending.insert(reference.index);
    else if (phase != TaskPhase::Queued)
        job.pending.erase(reference.index);
    task.phase = phase;
    if (phase == TaskPhase::Queued || isFinal(phase)) {
        releaseUsage(reference);
        task.due = {};
        task.owners.clear();
        task.preempting = false;
    }
    updateQueue(job);
}

void HomeState::setDue(TaskReference reference, TimePoint due)
{
    reference.task().due = due;
    m_taskTimers.emplace(due, reference.job->accepted.id, reference.index);
}

void HomeState::updateQueue(Job &job)
{
    const bool gangBusy = job.isGang()
        && (job.gang.phase != GangPhase::Idle || job.pending.size() != job.tasks.size());
    const bool ready = !job.pending.empty() && !job.ended() && !job.accepted.cancelled && !gangBusy;
    if (ready && job.notBefore <= context.now)
        queue.add(job);
    else if (ready && job.waitsForCapacity)
        waiting.add(job);
    else
        dequeue(job);
}

void HomeState::dequeue(Job &job)
{
    if (job.queue != nullptr)
        job.queue->remove(job);
}

void HomeState::backOff(Job &job)
{
    const Duration maximum =
        job.definition().priority == Priority::Urgent ? maximumUrgentBackOff : maximumBackOff;
    job.backOff = std::clamp(job.backOff * 2, minimumBackOff, maximum);
    job.waitsForCapacity = true;
    deferUntil(job, context.now + context.randomBetween(job.backOff / 2, job.backOff));
}

void HomeState::delay(Job &job, Duration time)
{
    job.waitsForCapacity = false;
    deferUntil(job, context.now + time);
}

void HomeState::deferUntil(Job &job, TimePoint time)
{
    job.notBefore = time;
    m_jobTimers.emplace(time, job.accepted.id);
    updateQueue(job);
}

void HomeState::requeueWaiting(std::size_t count)
{
    const auto jobOf = [this](const JobId &id) -> const Job & { return m_jobs.at(id); };
    while (count-- > 0 && waiting.size() > 0) {
        const auto next = waiting.next(jobOf);
        if (!next)
            return;
        Job &requeuedJob = m_jobs.at(*next);
        requeuedJob.notBefore = context.now;
        updateQueue(requeuedJob);
    }
}

void HomeState::countUsage(TaskReference reference)
{
    if (Task &task = reference.task(); !std::exchange(task.usageCounted, true))
        usage.add(reference.job->definition().team, reference.job->definition().perTask);
}

void HomeState::releaseUsage(TaskReference reference)
{
    if (Task &task = reference.task(); std::exchange(task.usageCounted, false))
        usage.remove(reference.job->definition().team, reference.job->definition().perTask);
}

void HomeState::append(std::uint64_t ticket, JournalEntry entry)
{
    context.output->raise(event::JournalAppend{ ticket, "scheduling", std::move(entry) });
}

void HomeState::journalIntent(TaskReference reference)
{
    const Task &task = reference.task();
    const std::uint64_t ticket = ++m_nextTicket;
    m_intents[ticket] = task.attempt;
    append(ticket,
           { JournalEntry::Kind::TaskIntent, reference.job->partition,
             taskIdentity(reference.job->accepted.id, reference.index), task.attempt, 0,
             task.worker });
}

void HomeState::journalEnd(TaskReference reference, TaskState state)
{
    journalEnd(
        *reference.job,
        { reference.task().attempt, reference.job->accepted.id, reference.index, state, {} });
}

void HomeState::journalEnd(const Job &job, const message::TaskEnded &ended)
{
    append(++m_nextTicket,
           { JournalEntry::Kind::TaskEnd,
             job.partition,
             taskIdentity(job.accepted.id, ended.index),
             ended.attempt,
             static_cast<std::uint64_t>(ended.state),
             {} });
}

std::optional<AttemptId> HomeState::takeIntent(const event::JournalResult &result)
{
    const auto iterator = m_intents.find(result.ticket);
    if (result.stage != "scheduling" || iterator == m_intents.end())
        return std::nullopt;
    AttemptId attempt = std::move(iterator->second);
    m_intents.erase(iterator);
    return attempt;
}

void HomeState::endIfComplete(Job &job)
{
    if (!job.ended() && job.finalTasks == job.tasks.size())
        finish(job);
}

void HomeState::finish(Job &job)
{
    const bool succeeded = !job.accepted.cancelled && job.failedTasks == 0;
    job.endedLate = job.late(context.now);
    job.accepted.outcome = job.accepted.cancelled ? JobOutcome::Cancelled
        : succeeded                               ? JobOutcome::Succeeded
                                                  : JobOutcome::Failed;
    dequeue(job);
    rows.write(job.accepted, job.partition);
    m_ended.emplace_back(context.now, job.accepted.id);
    if (job.accepted.cancelled || job.isService())
        return;
    event::WorkFinished finished;
    finished.service = job.definition().name;
    finished.caller = job.definition().team;
    finished.request = false;
    finished.waited = context.now - job.acceptedAt;
    finished.deadlineMet = !job.late(context.now);
    finished.available = succeeded;
    context.output->raise(std::move(finished));
}

std::vector<TaskReference> HomeState::takeDueTasks()
{
    std::vector<TaskReference> result;
    while (!m_taskTimers.empty() && std::get<TimePoint>(*m_taskTimers.begin()) <= context.now) {
        const auto [due, id, index] = *m_taskTimers.begin();
        m_taskTimers.erase(m_taskTimers.begin());
        // A superseded timer does not match the due time of the task.
        if (Job *owner = job(id); owner != nullptr && owner->tasks[index].due == due)
            result.push_back({ owner, index });
    }
    return result;
}

void HomeState::takeDueJobs()
{
    while (!m_jobTimers.empty() && m_jobTimers.begin()->first <= context.now) {
        const JobId id = m_jobTimers.begin()->second;
        m_jobTimers.erase(m_jobTimers.begin());
        if (Job *owner = job(id); owner != nullptr)
            updateQueue(*owner);
    }
}

void HomeState::evictEndedJobs()
{
    while (!m_ended.empty()
           && (m_ended.front().first + endedJobRetention < context.now
               || m_ended.size() > maximumEndedJobs)) {
        const JobId id = m_ended.front().second;
        m_ended.pop_front();
        if (const Job *old = job(id); old != nullptr && old->ended()) {
            m_jobs.erase(id);
            rows.forget(id);
        }
    }
}

} // namespace cowsliprock::scheduling
