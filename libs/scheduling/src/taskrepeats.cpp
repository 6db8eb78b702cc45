#include "gangrunner.h"
#include "taskrunner.h"

#include <algorithm>

// Timers, retries and recovery of inherited attempts of TaskRunner.

namespace cowsliprock::scheduling {

namespace {

constexpr Duration startRetryInterval = std::chrono::milliseconds(1'500);
constexpr Duration stopRetryInterval = std::chrono::seconds(2);

/// Interval between two status requests for a running task. Detects tasks whose end notification
/// was lost.
constexpr Duration auditInterval = std::chrono::seconds(60);

constexpr std::size_t maximumEarlyMessages = 20'000;

} // namespace

void TaskRunner::due(TaskReference reference)
{
    if (!m_state.context.valid())
        return m_state.setDue(reference, m_state.context.now + stopRetryInterval);
    switch (reference.task().phase) {
    case TaskPhase::Reserving:
        release(reference);
        if (reference.job->isGang())
            m_gangs->reserveReply(reference, false);
        else
            reserveNext(reference);
        break;
    case TaskPhase::Starting:
        resendStart(reference);
        break;
    case TaskPhase::Running:
        auditRunning(reference);
        break;
    case TaskPhase::Stopping:
        resendStop(reference);
        break;
    case TaskPhase::Waiting:
        m_state.setPhase(reference, TaskPhase::Queued);
        break;
    case TaskPhase::Recovering:
        recoverInherited(reference);
        break;
    default:
        break;
    }
}

DaemonName TaskRunner::ownerOf(const WorkerName &worker, const DaemonName &known) const
{
    const auto partition = m_state.context.partitionOfWorker(worker);
    const auto owner = partition ? m_state.context.ownerOf(*partition) : std::nullopt;
    return owner ? owner->name : known;
}

bool TaskRunner::vmEnded(const Task &task) const
{
    return m_state.context.vmEnded(task.worker, task.workerKnownAt);
}

void TaskRunner::resendStart(TaskReference reference)
{
    const Task &task = reference.task();
    if (vmEnded(task))
        return attemptEnded(reference, TaskState::Lapsed);
    m_state.setDue(reference, m_state.context.now + startRetryInterval);
    m_state.context.send(ownerOf(task.worker, task.owner),
                         message::StartTask{ task.attempt, task.worker });
}

void TaskRunner::auditRunning(TaskReference reference)
{
    const Task &task = reference.task();
    if (vmEnded(task))
        return attemptEnded(reference, TaskState::Lapsed);
    m_state.setDue(reference, m_state.context.now + auditInterval);
    m_state.context.send(ownerOf(task.worker, task.owner),
                         message::StartTask{ task.attempt, task.worker });
    // Journal readers skip entries that are older than the retention time, so the intent is
    // renewed.
    if (reference.job->definition().exclusive
        && task.intentAt + m_state.context.settings.identityRetention / 2 < m_state.context.now)
        m_state.journalIntent(reference);
}

void TaskRunner::resendStop(TaskReference reference)
{
    const Task &task = reference.task();
    if (vmEnded(task))
        return attemptEnded(reference, TaskState::Stopped);
    m_state.setDue(reference, m_state.context.now + stopRetryInterval);
    sendStop(task.attempt, task.worker, task.owner);
}

void TaskRunner::sendStop(const AttemptId &attempt, const WorkerName &worker,
                          const DaemonName &owner)
{
    if (const DaemonName target = ownerOf(worker, owner); !target.empty())
        m_state.context.send(target, message::StopTask{ attempt, worker });
}

void TaskRunner::recoverInherited(TaskReference reference)
{
    Context &context = m_state.context;
    const Job &job = *reference.job;
    if (!context.usable(job.partition))
        return m_state.setDue(reference, context.owned.at(job.partition).usableFrom);
    const auto inherited = reference.task().inherited;
    for (const auto &[attempt, worker] : inherited) {
        if (context.vmEnded(worker, job.acceptedAt)) {
            inheritedEnded({ attempt, job.accepted.id, reference.index, TaskState::Lapsed, {} });
        } else if (const DaemonName owner = ownerOf(worker, {}); owner.empty()) {
            continue;
        } else if (reference.task().stopRequested) {
            context.send(owner, message::StopTask{ attempt, worker });
        } else {
            context.send(owner, message::StartTask{ attempt, worker });
        }
    }
    if (reference.task().phase != TaskPhase::Recovering)
        return;
    if (!reference.task().inherited.empty())
        m_state.setDue(reference, context.now + stopRetryInterval);
    else if (context.now < job.recoverUntil)
        m_state.setDue(reference, job.recoverUntil);
    else if (job.isGang())
        m_gangs->memberRecovered(reference);
    else
        m_state.setPhase(reference, TaskPhase::Queued);
}

void TaskRunner::runningAnnounced(const DaemonName &from, const message::StartTaskReply &reply)
{
    const auto name = AttemptName::parse(reply.attempt);
    if (!name || !m_state.context.owns(name->home))
        return;
    if (!m_state.loaded.contains(name->home)) {
        if (m_state.earlyMessages.size() < maximumEarlyMessages)
            m_state.earlyMessages.emplace_back(from, reply);
        return;
    }
    Job *job = m_state.job(name->job);
    if (job == nullptr || name->index >= job->tasks.size())
        sendStop(reply.attempt, reply.worker, from);
    else
        adopt({ job, name->index }, from, reply);
}

void TaskRunner::adopt(TaskReference reference, const DaemonName &from,
                       const message::StartTaskReply &reply)
{
    Task &task = reference.task();
    const Job &job = *reference.job;
    const bool searching = !job.isGang()
        && (task.phase == TaskPhase::Queued || task.phase == TaskPhase::Waiting
            || task.phase == TaskPhase::Reserving || task.phase == TaskPhase::Journaling);
    if (task.stopRequested || (task.phase != TaskPhase::Recovering && !searching)) {
        sendStop(reply.attempt, reply.worker, from);
        return;
    }
    if (task.phase == TaskPhase::Reserving || task.phase == TaskPhase::Journaling)
        release(reference);
    std::erase_if(task.inherited,
                  [&](const auto &inherited) { return inherited.attempt == reply.attempt; });
    task.attempt = reply.attempt;
    task.worker = reply.worker;
    task.workerKnownAt = m_state.context.now;
    task.owner = from;
    task.starts = std::max(task.starts, 1U);
    m_state.countUsage(reference);
    m_state.setPhase(reference, TaskPhase::Running);
    m_state.setDue(reference, m_state.context.now + auditInterval);
    reference.job->everStarted = true;
    if (job.isGang())
        m_gangs->memberRecovered(reference);
}

void TaskRunner::inheritedNotStarted(const DaemonName &from, const message::StartTaskReply &reply)
{
    const auto name = AttemptName::parse(reply.attempt);
    if (name && from == ownerOf(reply.worker, {}))
        inheritedEnded({ reply.attempt, name->job, name->index, TaskState::Lapsed, {} });
}

void TaskRunner::inheritedEnded(const message::TaskEnded &ended)
{
    const auto name = AttemptName::parse(ended.attempt);
    if (!name || !m_state.context.owns(name->home))
        return;
    if (!m_state.loaded.contains(name->home)) {
        if (m_state.earlyMessages.size() < maximumEarlyMessages)
            m_state.earlyMessages.emplace_back(DaemonName(), ended);
        return;
    }
    Job *job = m_state.job(name->job);
    if (job == nullptr || name->index >= job->tasks.size())
        return;
    const TaskReference reference{ job, name->index };
    Task &task = reference.task();
    const auto removed = std::erase_if(
        task.inherited, [&](const auto &inherited) { return inherited.attempt == ended.attempt; });
    if (removed > 0)
        m_state.journalEnd(*job, ended);
    const bool idle = task.phase == TaskPhase::Recovering || task.phase == TaskPhase::Queued
        || task.phase == TaskPhase::Waiting;
    if (idle && ended.state == TaskState::Succeeded && !job->isService() && !job->isGang())
        m_state.setPhase(reference, TaskPhase::Succeeded);
    else if (task.phase == TaskPhase::Recovering && task.stopRequested && task.inherited.empty())
        m_state.setPhase(reference, TaskPhase::Stopped);
    m_state.endIfComplete(*job);
}

} // namespace cowsliprock::scheduling
