#include "workerreports.h"

#include <algorithm>
#include <vector>

namespace cowsliprock::scheduling {

namespace {

/// Bounds the burst after many workers were acquired at once.
constexpr std::size_t maximumPollsPerTick = 64;

/// Polls without an answer after which leases are not renewed any more. The poll may reach the
/// worker although its answer is lost; with renewals going on, its tasks could never count as
/// ended.
constexpr unsigned unansweredPollsThatRenew = 2;

/// How often the end of a task is told, because messages may be lost.
constexpr unsigned endNotices = 3;
constexpr Duration announcementInterval = std::chrono::seconds(60);

} // namespace

void WorkerReports::tick()
{
    if (!m_state.context.valid())
        return;
    std::size_t polls = 0;
    for (auto &[name, worker] : m_state.ledger.workers()) {
        if (!m_state.context.usable(worker.partition))
            continue;
        if (worker.unreachable >= unansweredPollsThatRenew && !worker.attempts.empty()
            && m_state.context.now >= worker.leaseEnd)
            leasesEnded(worker);
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
    if (worker.unreachable < unansweredPollsThatRenew) {
        for (const auto &attempt : worker.attempts) {
            const Hold &hold = *m_state.ledger.hold(attempt);
            if (hold.state != HoldState::Pending && hold.state != HoldState::Reserved
                && !hold.stopWanted)
                renew.push_back(attempt);
        }
    }
    const TimePoint sentBy = std::min(context.validUntil, context.now + sendLimit);
    if (!renew.empty())
        worker.leaseEnd = std::max(worker.leaseEnd,
                                   sentBy + context.settings.quarantine + context.settings.taskLease
                                       + taskLeaseMargin);
    // The first interval differs from worker to worker, which spreads the polls over time.
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

void WorkerReports::leasesEnded(Worker &worker)
{
    // What the worker runs is unknown from here on, so its capacity counts as occupied.
    worker.reported = false;
    const auto attempts = worker.attempts;
    for (const auto &attempt : attempts) {
        const HoldState state = m_state.ledger.hold(attempt)->state;
        if (state == HoldState::Pending || state == HoldState::Reserved)
            m_state.endUnstarted(attempt);
        else
            m_state.endStarted(attempt, TaskState::Lapsed, {});
    }
    m_state.ledger.refresh(worker);
}

void WorkerReports::report(const event::WorkerReport &report)
{
    Worker *worker = m_state.ledger.worker(report.worker);
    // Reports can overtake each other; an older one says nothing new.
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
            absent(attempt, report.askedAt);
    }
    for (const auto &[attempt, task] : reported) {
        if (isLive(task->state))
            present(report.worker, *task, report.askedAt);
        else
            ended(report.worker, *task);
    }
    m_state.ledger.refresh(*worker);
}

void WorkerReports::absent(const AttemptId &attempt, TimePoint askedAt)
{
    Hold &hold = *m_state.ledger.hold(attempt);
    switch (hold.state) {
    case HoldState::Pending:
    case HoldState::Reserved:
        break;
    case HoldState::Starting:
    case HoldState::Unknown:
        if (askedAt >= hold.settledBy) {
            const WorkerName worker = hold.worker;
            const DaemonName requester = hold.requester;
            m_state.endUnstarted(attempt);
            m_state.sendNotStarted(attempt, worker, requester);
        }
        break;
    case HoldState::Running:
        if (askedAt > hold.confirmedAt)
            m_state.endStarted(attempt, hold.stopWanted ? TaskState::Stopped : TaskState::Lapsed,
                               {});
        break;
    }
}

void WorkerReports::present(const WorkerName &name, const TaskReport &task, TimePoint askedAt)
{
    Hold *hold = m_state.ledger.hold(task.attempt);
    if (hold == nullptr)
        return adopt(name, task, askedAt);
    if (hold->worker != name)
        return;
    m_state.corrections.add(hold->launch.name, hold->launch.declared, task.used);
    if (!hold->reportedLive) {
        hold->reportedLive = true;
        m_state.ledger.ejection().startSucceeded(name);
    }
    if (hold->state != HoldState::Running) {
        hold->confirmedAt = askedAt;
        m_state.ledger.changeState(*hold, HoldState::Running);
        if (hold->stopWanted)
            m_state.stop(*hold, effect::StopTask::Mode::Stop);
    }
    const auto home = m_state.homeOf(task.attempt);
    if (!home)
        return;
    const bool changed = hold->announcedTo != *home;
    hold->ownerOrHomeChanged |= changed && !hold->announcedTo.name.empty();
    // The announcement, or the home's answer that a task is surplus, may be lost.
    const bool repeat =
        hold->ownerOrHomeChanged && hold->announcedAt + announcementInterval <= m_state.context.now;
    if (changed || repeat)
        m_state.sendStarted(*hold);
}

void WorkerReports::adopt(const WorkerName &name, const TaskReport &task, TimePoint askedAt)
{
    const AttemptMemory::Record *record = m_state.memory.find(task.attempt);
    Hold hold;
    hold.launch.attempt = task.attempt;
    hold.launch.job = task.job;
    hold.launch.index = task.index;
    hold.launch.declared = task.declared;
    hold.worker = name;
    hold.state = HoldState::Running;
    hold.amount = task.declared;
    hold.confirmedAt = askedAt;
    hold.reportedLive = true;
    hold.ownerOrHomeChanged = true;
    Hold &added = m_state.ledger.add(std::move(hold));
    if (record != nullptr) {
        // Stopped or released before it was seen here.
        m_state.ledger.wantStop(added);
        m_state.stop(added, effect::StopTask::Mode::Stop);
        return;
    }
    m_state.sendStarted(added);
}

void WorkerReports::ended(const WorkerName &name, const TaskReport &task)
{
    if (Hold *hold = m_state.ledger.hold(task.attempt); hold != nullptr) {
        if (hold->worker != name)
            return;
        m_state.corrections.add(hold->launch.name, hold->launch.declared, task.used);
        earlyEnd(*hold, task.state);
        m_state.endStarted(task.attempt, task.state, task.used);
        return;
    }
    AttemptMemory::Record *record = m_state.memory.find(task.attempt);
    if (record == nullptr || record->fate != AttemptMemory::Fate::Ended) {
        m_state.rememberEnd({ task.attempt, task.job, task.index, task.state, task.used });
        return;
    }
    const auto home = m_state.homeOf(task.attempt);
    if (home && (record->sent < endNotices || record->announcedTo != *home))
        m_state.sendEnded(*record);
}

void WorkerReports::earlyEnd(const Hold &hold, TaskState state)
{
    Ejection &ejection = m_state.ledger.ejection();
    if (state == TaskState::Succeeded)
        ejection.startSucceeded(hold.worker);
    if (state != TaskState::Failed || hold.reportedLive)
        return;
    if (ejection.taskFailedEarly(hold.worker, hold.launch.job, m_state.context.now,
                                 m_state.ledger.workers().size()))
        m_state.context.output->log("worker " + hold.worker.value()
                                    + " ejected: its tasks fail at once");
}

} // namespace cowsliprock::scheduling
