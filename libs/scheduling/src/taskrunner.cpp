#include "taskrunner.h"

#include "gangrunner.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

/// Time-out of a reservation request: 20 ms latency each way between regions, the rest allows for
/// load.
constexpr Duration reservationReplyTimeout = std::chrono::milliseconds(500);

/// With preemption the owner answers once the preempted tasks have ended. Slightly longer than
/// Preemption::preemptionTimeout (4 s) of the owner.
constexpr Duration preemptionReplyTimeout = std::chrono::milliseconds(4'200);

constexpr Duration startRetryInterval = std::chrono::milliseconds(1'500);

} // namespace

void TaskRunner::begin(TaskReference reference)
{
    Task &task = reference.task();
    m_state.countUsage(reference);
    task.owners = m_owners.ownersForTask(reference.job->definition(), false);
    task.preempting = false;
    m_state.setPhase(reference, TaskPhase::Reserving);
    reserveNext(reference);
}

void TaskRunner::reserveNext(TaskReference reference)
{
    Task &task = reference.task();
    const bool mayPreempt = reference.job->definition().priority == Priority::Urgent;
    if (task.owners.empty() && mayPreempt && !task.preempting) {
        task.preempting = true;
        task.owners = m_owners.ownersForTask(reference.job->definition(), true);
    }
    if (task.owners.empty() || m_state.context.draining)
        return requeueAfterRound(reference);
    const DaemonName owner = task.owners.front();
    task.owners.erase(task.owners.begin());
    requestReservation(reference, owner, task.preempting);
}

void TaskRunner::requestReservation(TaskReference reference, const DaemonName &owner, bool preempt)
{
    Job &job = *reference.job;
    Task &task = reference.task();
    const JobDefinition &definition = job.definition();
    task.attempt = m_state.newAttempt(job, reference.index);
    task.owner = owner;
    task.worker = {};
    message::Reserve request;
    request.attempt = task.attempt;
    request.launch = { task.attempt,
                       job.accepted.id,
                       reference.index,
                       definition.perTask,
                       definition.expectedRunTime,
                       {},
                       0,
                       0,
                       definition.name };
    if (const auto &configuration = m_state.context.configuration;
        job.isService() && configuration) {
        request.launch.service = definition.service;
        for (const auto &service : configuration->services) {
            if (service.name != definition.service)
                continue;
            request.launch.slots = service.slots;
            request.launch.connections = service.connections;
        }
    }
    request.policy = definition.policy;
    request.priority = definition.priority;
    request.mayYield = definition.mayYield;
    request.preempt = preempt;
    m_state.setDue(reference,
                   m_state.context.now
                       + (preempt ? preemptionReplyTimeout : reservationReplyTimeout));
    m_state.context.send(owner, std::move(request));
}

void TaskRunner::requeueAfterRound(TaskReference reference)
{
    Job &job = *reference.job;
    m_state.setPhase(reference, TaskPhase::Queued);
    m_state.backOff(job);
}

void TaskRunner::reserveReply(const DaemonName &from, const message::ReserveReply &reply)
{
    const auto reference = m_state.find(reply.attempt);
    const bool expected = reference && reference->task().phase == TaskPhase::Reserving
        && reference->task().owner == from;
    if (!expected) {
        // The reply is outdated. Its reservation is released unless the attempt is in use.
        const bool unused = !reference || isFinal(reference->task().phase)
            || reference->task().phase == TaskPhase::Queued;
        if (reply.granted && unused)
            m_state.context.send(from, message::ReleaseReservation{ reply.attempt });
        return;
    }
    Task &task = reference->task();
    if (reply.granted) {
        task.worker = reply.worker;
        task.workerKnownAt = m_state.context.now;
    }
    if (reference->job->isGang())
        m_gangs->reserveReply(*reference, reply.granted);
    else if (reply.granted)
        granted(*reference);
    else
        reserveNext(*reference);
}

void TaskRunner::granted(TaskReference reference)
{
    if (m_state.context.draining) {
        release(reference);
        return requeueAfterRound(reference);
    }
    reference.job->backOff = {};
    if (reference.job->definition().exclusive)
        writeIntent(reference);
    else
        start(reference);
}

void TaskRunner::writeIntent(TaskReference reference)
{
    m_state.setPhase(reference, TaskPhase::Journaling);
    reference.task().due = {};
    m_state.journalIntent(reference);
}

void TaskRunner::journalResult(const event::JournalResult &result)
{
    const auto attempt = m_state.takeIntent(result);
    if (!attempt)
        return;
    const auto reference = m_state.find(*attempt);
    if (!reference)
        return;
    Task &task = reference->task();
    if (result.durable)
        task.intentAt = m_state.context.now;
    if (task.phase != TaskPhase::Journaling) {
        // The task was stopped in the meantime: close the intent of an attempt that never started.
        if (result.durable && isFinal(task.phase))
            m_state.journalEnd(*reference, TaskState::Stopped);
        return;
    }
    if (reference->job->isGang()) {
        m_gangs->journalResult(*reference, result.durable);
    } else if (result.durable && !m_state.context.draining) {
        start(*reference);
    } else {
        if (result.durable)
            m_state.journalEnd(*reference, TaskState::Stopped);
        release(*reference);
        requeueAfterRound(*reference);
    }
}

void TaskRunner::start(TaskReference reference)
{
    Task &task = reference.task();
    m_state.setPhase(reference, TaskPhase::Starting);
    m_state.setDue(reference, m_state.context.now + startRetryInterval);
    if (m_state.context.valid())
        m_state.context.send(task.owner, message::StartTask{ task.attempt, task.worker });
}

void TaskRunner::release(TaskReference reference)
{
    const Task &task = reference.task();
    m_state.context.send(task.owner, message::ReleaseReservation{ task.attempt });
}

void TaskRunner::startReply(const DaemonName &from, const message::StartTaskReply &reply)
{
    const auto reference = m_state.find(reply.attempt);
    if (!reference) {
        if (reply.outcome == message::StartOutcome::Started)
            runningAnnounced(from, reply);
        else if (reply.outcome == message::StartOutcome::NotStarted)
            inheritedNotStarted(from, reply);
        return;
    }
    switch (reply.outcome) {
    case message::StartOutcome::Started:
        started(*reference, reply);
        break;
    case message::StartOutcome::NotStarted:
        notStarted(*reference, from);
        break;
    case message::StartOutcome::Unknown:
        break;
    }
}

void TaskRunner::started(TaskReference reference, const message::StartTaskReply &reply)
{
    Task &task = reference.task();
    task.worker = reply.worker;
    if (isFinal(task.phase)) {
        sendStop(task.attempt, task.worker, task.owner);
        return;
    }
    if (task.phase != TaskPhase::Starting)
        return;
    m_state.setPhase(reference, TaskPhase::Running);
    ++task.starts;
    reference.job->everStarted = true;
    m_state.context.output->perform(effect::Observe{
        "scheduling.wait",
        std::chrono::duration<double>(m_state.context.now - task.queuedAt).count() });
    m_state.setDue(reference, m_state.context.now + std::chrono::seconds(60));
    if (reference.job->isGang())
        m_gangs->memberStarted(reference);
}

void TaskRunner::notStarted(TaskReference reference, const DaemonName &from)
{
    const Task &task = reference.task();
    // Accepted only from the owner that held the reservation or the current owner of the worker.
    if (from != task.owner && from != ownerOf(task.worker, task.owner))
        return;
    switch (task.phase) {
    case TaskPhase::Starting:
        if (reference.job->definition().exclusive)
            m_state.journalEnd(reference, TaskState::Stopped);
        if (reference.job->isGang()) {
            m_gangs->memberNotStarted(reference);
        } else {
            m_state.setPhase(reference, TaskPhase::Queued);
            m_state.backOff(*reference.job);
        }
        break;
    case TaskPhase::Running:
        attemptEnded(reference, TaskState::Lapsed);
        break;
    case TaskPhase::Stopping:
        attemptEnded(reference, TaskState::Stopped);
        break;
    default:
        break;
    }
}

void TaskRunner::ended(const message::TaskEnded &ended)
{
    const auto reference = m_state.find(ended.attempt);
    if (!reference) {
        inheritedEnded(ended);
        return;
    }
    const TaskPhase phase = reference->task().phase;
    if (phase == TaskPhase::Starting || phase == TaskPhase::Running || phase == TaskPhase::Stopping)
        attemptEnded(*reference, ended.state);
}

void TaskRunner::attemptEnded(TaskReference reference, TaskState state)
{
    Job &job = *reference.job;
    Task &task = reference.task();
    if (job.definition().exclusive || (state == TaskState::Succeeded && !job.isService()))
        m_state.journalEnd(reference, state);
    if (task.phase == TaskPhase::Starting) {
        ++task.starts;
        job.everStarted = true;
    }
    reportEnd(reference, state);
    if (job.isGang())
        m_gangs->memberEnded(reference, state);
    else
        retryOrFail(reference, state);
    m_state.endIfComplete(job);
}

void TaskRunner::retryOrFail(TaskReference reference, TaskState state)
{
    Job &job = *reference.job;
    Task &task = reference.task();
    const bool exhausted = !job.isService() && task.starts >= job.definition().maxAttempts;
    if (state == TaskState::Succeeded && !job.isService()) {
        m_state.setPhase(reference, TaskPhase::Succeeded);
    } else if (task.stopRequested) {
        m_state.setPhase(reference, TaskPhase::Stopped);
    } else if (state == TaskState::Stopped) {
        // Preempted by urgent work, which does not count as an attempt.
        task.starts -= task.starts > 0 ? 1 : 0;
        task.queuedAt = m_state.context.now;
        m_state.setPhase(reference, TaskPhase::Queued);
    } else if (exhausted) {
        m_state.setPhase(reference, TaskPhase::Failed);
    } else {
        const unsigned doublings = std::min(task.starts, 6U);
        const Duration base = std::chrono::milliseconds(500) * (1 << doublings);
        task.queuedAt = m_state.context.now;
        m_state.setPhase(reference, TaskPhase::Waiting);
        m_state.releaseUsage(reference);
        m_state.setDue(reference,
                       m_state.context.now + m_state.context.randomBetween(base / 2, base));
    }
}

void TaskRunner::reportEnd(TaskReference reference, TaskState state)
{
    const Job &job = *reference.job;
    const Task &task = reference.task();
    const bool final = state == TaskState::Succeeded || task.starts >= job.definition().maxAttempts;
    if (job.isService() || task.stopRequested || state == TaskState::Stopped || !final)
        return;
    event::WorkFinished finished;
    finished.service = job.definition().name;
    finished.caller = job.definition().team;
    finished.request = false;
    finished.waited = m_state.context.now - task.queuedAt;
    finished.deadlineMet = !job.late(m_state.context.now);
    finished.available = state == TaskState::Succeeded;
    m_state.context.output->raise(std::move(finished));
}

void TaskRunner::stop(TaskReference reference)
{
    Task &task = reference.task();
    task.stopRequested = true;
    switch (task.phase) {
    case TaskPhase::Reserving:
    case TaskPhase::Reserved:
    case TaskPhase::Journaling:
        release(reference);
        m_state.setPhase(reference, TaskPhase::Stopped);
        break;
    case TaskPhase::Queued:
    case TaskPhase::Waiting:
        m_state.setPhase(reference, TaskPhase::Stopped);
        break;
    case TaskPhase::Recovering:
        if (task.inherited.empty())
            m_state.setPhase(reference, TaskPhase::Stopped);
        for (const auto &inherited : task.inherited)
            sendStop(inherited.attempt, inherited.worker, {});
        break;
    case TaskPhase::Starting:
    case TaskPhase::Running:
        m_state.setPhase(reference, TaskPhase::Stopping);
        resendStop(reference);
        break;
    case TaskPhase::Stopping:
    case TaskPhase::Succeeded:
    case TaskPhase::Failed:
    case TaskPhase::Stopped:
        break;
    }
}

} // namespace cowsliprock::scheduling
