#include "workerreports.h"

#include <algorithm>
#include <vector>

namespace cowsliprock::scheduling {

namespace {

/// Limits the burst of polls after many workers were acquired at once.
constexpr std::size_t maximumPollsPerTick = 64;

/// Number of consecutive unanswered polls after which leases are no longer renewed. A poll may
/// reach the worker although its answer is lost; if it kept renewing leases, the tasks of the
/// worker could never be considered ended.
constexpr unsigned maximumUnansweredRenewals = 2;

/// Number of times the end of a task is reported to the home, because messages may be lost.
constexpr unsigned maximumEndNotices = 3;
constexpr Duration notificationInterval = std::chrono::seconds(60);

} // namespace

void WorkerReports::tick()
{
    if (!m_state.context.valid())
        return;
    std::size_t polls = 0;
    for (auto &[name, worker] : m_state.ledger.workers()) {
        if (!m_state.context.usable(worker.partition))
            continue;
        if (worker.unreachable >= maximumUnansweredRenewals && !worker.attempts.empty()
            && m_state.context.now >= worker.leaseEnd)
            expireLeases(worker);
        if (worker.nextPoll <= m_state.context.now && polls < maximumPollsPerTick) {
            poll(name, worker);
            ++polls;
        }
    }
}

void WorkerReports::poll(const WorkerName &name, Worker &worker)
{
    Context &context = m_state.context;
    std::vector<AttemptId> renew;
    if (worker.unreachable < maximumUnansweredRenewals) {
        for (const auto &attempt : worker.attempts) {
            const Allocation &allocation = *m_state.ledger.allocation(attempt);
            if (allocation.state != AllocationState::Pending
                && allocation.state != AllocationState::Reserved && !allocation.stopRequested)
                renew.push_back(attempt);
        }
    }
    const TimePoint sentBy = std::min(context.validUntil, context.now + sendLimit);
    if (!renew.empty())
        worker.leaseEnd = std::max(worker.leaseEnd,
                                   sentBy + context.settings.quarantine + context.settings.taskLease
                                       + taskLeaseMargin);
    // The first interval is randomized per worker to spread the polls over time.
    Duration interval = context.settings.pollInterval;
    if (worker.reportAskedAt == TimePoint{})
        interval = context.randomBetween(interval / 5, interval);
    worker.nextPoll = context.now + interval;
    context.perform(effect::PollWorker{ name, worker.vm.address, std::move(renew),
                                        context.settings.taskLease, sentBy });
}

void WorkerReports::unreachable(const WorkerName &name)
{
    Worker *worker = m_state.ledger.worker(name);
    if (worker == nullptr)
        return;
    ++worker->unreachable;
    m_state.ledger.refresh(*worker);
}

void WorkerReports::expireLeases(Worker &worker)
{
    // The tasks of the worker are unknown from now on, so its capacity is treated as occupied.
    worker.reported = false;
    const auto attempts = worker.attempts;
    for (const auto &attempt : attempts) {
        const AllocationState state = m_state.ledger.allocation(attempt)->state;
        if (state == AllocationState::Pending || state == AllocationState::Reserved)
            m_state.endUnstarted(attempt);
        else
            m_state.endStarted(attempt, TaskState::Lapsed, {});
    }
    m_state.ledger.refresh(worker);
}

void WorkerReports::report(const event::WorkerReport &report)
{
    Worker *worker = m_state.ledger.worker(report.worker);
    // Reports may arrive out of order; older ones are ignored.
    if (worker == nullptr || report.askedAt < worker->usableFrom
        || report.askedAt < worker->reportAskedAt)
        return;
    worker->reported = true;
    worker->unreachable = 0;
    worker->capacity = report.capacity;
    worker->reportAskedAt = report.askedAt;
    Reported reported;
    for (const auto &task : report.tasks)
        reported[task.attempt] = &task;
    const auto attempts = worker->attempts;
    for (const auto &attempt : attempts) {
        if (!reported.contains(attempt))
            notReported(attempt, report.askedAt);
    }
    for (const auto &[attempt, task] : reported) {
        if (isLive(task->state))
            reportedRunning(report.worker, *task, report.askedAt);
        else
            ended(report.worker, *task);
    }
    m_state.ledger.refresh(*worker);
}

void WorkerReports::notReported(const AttemptId &attempt, TimePoint askedAt)
{
    Allocation &allocation = *m_state.ledger.allocation(attempt);
    switch (allocation.state) {
    case AllocationState::Pending:
    case AllocationState::Reserved:
        break;
    case AllocationState::Starting:
    case AllocationState::Unknown:
        if (askedAt >= allocation.startEffectiveBy) {
            const WorkerName worker = allocation.worker;
            const DaemonName requester = allocation.requester;
            m_state.endUnstarted(attempt);
            m_state.sendNotStarted(attempt, worker, requester);
        }
        break;
    case AllocationState::Running:
        if (askedAt > allocation.confirmedAt)
            m_state.endStarted(
                attempt, allocation.stopRequested ? TaskState::Stopped : TaskState::Lapsed, {});
        break;
    }
}

void WorkerReports::reportedRunning(const WorkerName &name, const TaskReport &task,
                                    TimePoint askedAt)
{
    Allocation *allocation = m_state.ledger.allocation(task.attempt);
    if (allocation == nullptr)
        return adopt(name, task, askedAt);
    if (allocation->worker != name)
        return;
    m_state.corrections.add(allocation->launch.name, allocation->launch.declared, task.used);
    if (!allocation->reportedLive) {
        allocation->reportedLive = true;
        m_state.ledger.ejection().startSucceeded(name);
    }
    if (allocation->state != AllocationState::Running) {
        allocation->confirmedAt = askedAt;
        m_state.ledger.changeState(*allocation, AllocationState::Running);
        if (allocation->stopRequested)
            m_state.stop(*allocation, effect::StopTask::Mode::Stop);
    }
    const auto home = m_state.homeOf(task.attempt);
    if (!home)
        return;
    const bool changed = allocation->notifiedHome != *home;
    allocation->ownerOrHomeChanged |= changed && !allocation->notifiedHome.name.empty();
    // The notification, or the home's stop request for a surplus task, may be lost.
    const bool repeat = allocation->ownerOrHomeChanged
        && allocation->notifiedAt + notificationInterval <= m_state.context.now;
    if (changed || repeat)
        m_state.sendStarted(*allocation);
}

void WorkerReports::adopt(const WorkerName &name, const TaskReport &task, TimePoint askedAt)
{
    const AttemptMemory::Record *record = m_state.attemptMemory.find(task.attempt);
    Allocation allocation;
    allocation.launch.attempt = task.attempt;
    allocation.launch.job = task.job;
    allocation.launch.index = task.index;
    allocation.launch.declared = task.declared;
    allocation.worker = name;
    allocation.state = AllocationState::Running;
    allocation.amount = task.declared;
    allocation.confirmedAt = askedAt;
    allocation.reportedLive = true;
    allocation.ownerOrHomeChanged = true;
    Allocation &added = m_state.ledger.add(std::move(allocation));
    if (record != nullptr) {
        // The attempt was stopped or released before it was first reported here.
        m_state.ledger.requestStop(added);
        m_state.stop(added, effect::StopTask::Mode::Stop);
        return;
    }
    m_state.sendStarted(added);
}

void WorkerReports::ended(const WorkerName &name, const TaskReport &task)
{
    if (Allocation *allocation = m_state.ledger.allocation(task.attempt); allocation != nullptr) {
        if (allocation->worker != name)
            return;
        m_state.corrections.add(allocation->launch.name, allocation->launch.declared, task.used);
        recordStartOutcome(*allocation, task.state);
        m_state.endStarted(task.attempt, task.state, task.used);
        return;
    }
    AttemptMemory::Record *record = m_state.attemptMemory.find(task.attempt);
    if (record == nullptr || record->disposition != AttemptMemory::Disposition::Ended) {
        m_state.recordEnd({ task.attempt, task.job, task.index, task.state, task.used });
        return;
    }
    const auto home = m_state.homeOf(task.attempt);
    if (home && (record->sent < maximumEndNotices || record->notifiedHome != *home))
        m_state.sendEnded(*record);
}

void WorkerReports::recordStartOutcome(const Allocation &allocation, TaskState state)
{
    Ejection &ejection = m_state.ledger.ejection();
    if (state == TaskState::Succeeded)
        ejection.startSucceeded(allocation.worker);
    if (state != TaskState::Failed || allocation.reportedLive)
        return;
    if (ejection.taskFailedEarly(allocation.worker, allocation.launch.job, m_state.context.now,
                                 m_state.ledger.workers().size()))
        m_state.context.output->log("worker " + allocation.worker.value()
                                    + " ejected: its tasks fail immediately after their start");
}

} // namespace cowsliprock::scheduling
