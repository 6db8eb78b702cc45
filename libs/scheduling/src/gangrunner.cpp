#include "gangrunner.h"

#include "taskrunner.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

constexpr Duration minimumBackOff = std::chrono::milliseconds(200);
constexpr Duration maximumBackOff = std::chrono::seconds(2);

bool allInPhase(const Job &job, std::initializer_list<TaskPhase> phases)
{
    return std::all_of(job.tasks.begin(), job.tasks.end(), [&](const Task &task) {
        return std::find(phases.begin(), phases.end(), task.phase) != phases.end();
    });
}

} // namespace

void GangRunner::begin(Job &job)
{
    Gang &gang = job.gang;
    gang.phase = GangPhase::Reserving;
    gang.owners = m_owners.ownersForGang(job.definition());
    gang.nextOwner = 0;
    gang.outstanding = 0;
    gang.failed = false;
    // Reserves the last quarter of the reservation time for the start messages.
    gang.reserveDeadline = m_state.context.now + m_state.context.settings.reservationTime * 3 / 4;
    m_reserving.insert(job.accepted.id);
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        m_state.countUsage({ &job, index });
    reserveAtNextOwner(job);
}

void GangRunner::reserveAtNextOwner(Job &job)
{
    Gang &gang = job.gang;
    if (gang.nextOwner == gang.owners.size() || m_state.context.draining)
        return abandonRound(job);
    const DaemonName owner = gang.owners[gang.nextOwner++];
    // Requests one more task than the load summary has capacity for, because load summaries are
    // seconds old.
    auto room = m_owners.taskCapacityOf(owner, job.definition().perTask) + 1;
    std::vector<TaskReference> asked;
    for (std::uint32_t index = 0; index < job.tasks.size() && room > 0; ++index) {
        if (const TaskReference member{ &job, index }; member.task().phase == TaskPhase::Queued) {
            asked.push_back(member);
            --room;
        }
    }
    gang.outstanding = static_cast<std::uint32_t>(asked.size());
    for (const auto &member : asked) {
        m_state.setPhase(member, TaskPhase::Reserving);
        m_tasks.requestReservation(member, owner, job.definition().priority == Priority::Urgent);
    }
}

void GangRunner::reserveReply(TaskReference member, bool granted)
{
    Job &job = *member.job;
    Gang &gang = job.gang;
    member.task().due = {};
    m_state.setPhase(member, granted ? TaskPhase::Reserved : TaskPhase::Queued);
    m_state.countUsage(member);
    if (gang.phase != GangPhase::Reserving || --gang.outstanding > 0)
        return;
    if (allInPhase(job, { TaskPhase::Reserved }))
        allReserved(job);
    else
        reserveAtNextOwner(job);
}

void GangRunner::allReserved(Job &job)
{
    if (m_state.context.draining)
        return abandonRound(job);
    if (!job.definition().exclusive)
        return startAll(job);
    job.gang.phase = GangPhase::Journaling;
    job.gang.outstanding = static_cast<std::uint32_t>(job.tasks.size());
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        m_tasks.writeIntent({ &job, index });
}

void GangRunner::journalResult(TaskReference member, bool durable)
{
    Job &job = *member.job;
    if (job.gang.phase != GangPhase::Journaling)
        return;
    if (!durable || m_state.context.draining)
        return abandonRound(job);
    if (--job.gang.outstanding == 0)
        startAll(job);
}

void GangRunner::startAll(Job &job)
{
    job.gang.phase = GangPhase::Started;
    m_reserving.erase(job.accepted.id);
    ++job.gang.starts;
    job.backOff = {};
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        m_tasks.start({ &job, index });
}

void GangRunner::abandonRound(Job &job)
{
    job.gang.phase = GangPhase::Idle;
    m_reserving.erase(job.accepted.id);
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const TaskReference member{ &job, index };
        const TaskPhase phase = member.task().phase;
        if (phase == TaskPhase::Reserving || phase == TaskPhase::Reserved
            || phase == TaskPhase::Journaling) {
            if (phase == TaskPhase::Journaling)
                m_state.journalEnd(member, TaskState::Stopped);
            m_tasks.release(member);
        }
        if (!isFinal(phase))
            m_state.setPhase(member, TaskPhase::Queued);
        m_state.releaseUsage(member);
    }
    m_state.delay(job, m_state.context.randomBetween(minimumBackOff, maximumBackOff));
}

void GangRunner::memberStarted(TaskReference member)
{
    if (member.job->gang.phase == GangPhase::Stopping)
        m_tasks.stop(member);
}

void GangRunner::memberNotStarted(TaskReference member)
{
    m_state.setPhase(member, TaskPhase::Stopped);
    // A start that the worker refused does not count as an attempt of the gang.
    if (member.job->gang.phase == GangPhase::Started && member.job->gang.starts > 0)
        --member.job->gang.starts;
    fail(*member.job);
}

void GangRunner::memberEnded(TaskReference member, TaskState state)
{
    Job &job = *member.job;
    Task &task = member.task();
    const bool retired = task.stopRequested || state != TaskState::Succeeded;
    m_state.setPhase(member, retired ? TaskPhase::Stopped : TaskPhase::Succeeded);
    if (job.gang.phase != GangPhase::Stopping && retired) {
        // Preempted or cancelled members do not count as a failure of the gang.
        if (state == TaskState::Stopped && job.gang.starts > 0)
            --job.gang.starts;
        else
            job.gang.failed = true;
        return fail(job);
    }
    finishRound(job);
}

void GangRunner::fail(Job &job)
{
    job.gang.phase = GangPhase::Stopping;
    // stop() ends a member on an ended VM synchronously. This must not finish the round before all
    // members have been requested to stop.
    job.gang.stoppingMembers = true;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const TaskReference member{ &job, index };
        if (!isFinal(member.task().phase))
            m_tasks.stop(member);
    }
    job.gang.stoppingMembers = false;
    finishRound(job);
}

void GangRunner::finishRound(Job &job)
{
    const bool allFinal = std::all_of(job.tasks.begin(), job.tasks.end(),
                                      [](const Task &task) { return isFinal(task.phase); });
    if (job.gang.phase != GangPhase::Stopping || job.gang.stoppingMembers || !allFinal
        || job.accepted.cancelled)
        return;
    if (job.gang.failed && job.gang.starts >= job.definition().maxAttempts) {
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
            m_state.setPhase({ &job, index }, TaskPhase::Failed);
        return;
    }
    requeue(job);
}

void GangRunner::requeue(Job &job)
{
    job.gang.phase = GangPhase::Idle;
    job.finalTasks = 0;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        Task &task = job.tasks[index];
        task.stopRequested = false;
        m_state.setPhase({ &job, index }, TaskPhase::Queued);
    }
    // setPhase() does not decrement the counters when a task leaves a final phase.
    job.finalTasks = 0;
    job.failedTasks = 0;
    m_state.delay(job, m_state.context.randomBetween(minimumBackOff, maximumBackOff));
}

void GangRunner::memberRecovered(TaskReference member)
{
    Job &job = *member.job;
    if (member.task().phase == TaskPhase::Recovering)
        m_state.setPhase(member, TaskPhase::Stopped);
    const bool recovering = std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task &task) {
        return task.phase == TaskPhase::Recovering;
    });
    if (recovering)
        return;
    job.gang.starts = std::max(job.gang.starts, 1U);
    if (allInPhase(job, { TaskPhase::Running, TaskPhase::Succeeded }))
        job.gang.phase = GangPhase::Started;
    else
        fail(job);
}

void GangRunner::tick()
{
    const auto reserving = m_reserving;
    for (const auto &id : reserving) {
        Job *job = m_state.job(id);
        const bool active = job != nullptr && !job->ended()
            && (job->gang.phase == GangPhase::Reserving
                || job->gang.phase == GangPhase::Journaling);
        if (!active)
            m_reserving.erase(id);
        else if (job->gang.reserveDeadline <= m_state.context.now)
            abandonRound(*job);
    }
}

} // namespace cowsliprock::scheduling
