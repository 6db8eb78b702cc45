#include "scheduler.h"

#include <utility>

namespace cowsliprock::cell {

namespace {

/// A worker that refused an order receives no new orders for this long.
constexpr std::chrono::milliseconds refusalPause{ 1000 };
/// A start without an answer is stopped after this time, unless an inventory lists the run.
constexpr std::chrono::milliseconds unknownStartTimeout{ 1000 };

const char *toString(OrderRefusal reason) noexcept
{
    switch (reason) {
    case OrderRefusal::Fenced:
        return "fenced";
    case OrderRefusal::OldRun:
        return "oldRun";
    case OrderRefusal::Late:
        return "late";
    case OrderRefusal::NoRoom:
        return "noRoom";
    case OrderRefusal::BadTicket:
        return "badTicket";
    case OrderRefusal::OtherLife:
        return "otherLife";
    case OrderRefusal::Unhealthy:
        return "unhealthy";
    case OrderRefusal::Malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace

void Scheduler::startTask(const StepView &view, std::uint32_t index, Worker &worker,
                          std::uint32_t number)
{
    Task &task = view.step->tasks[index];
    const auto current = now();
    Run run;
    run.task = view.task(index);
    run.number = number;
    run.held = heldBy(*view.spec);
    run.gang = view.spec->gang;
    run.ordered = current;
    run.startPending = true;
    run.checkpoint = view.spec->gang ? view.step->tasks.front().checkpoint : task.checkpoint;
    run.resumed = !run.checkpoint.empty();
    const RunKey key(run.task, number);
    m_reservations.taskStarted(worker.entry.id, run.held, expectedEnd(*view.spec));
    const Run &added = recordRun(worker, std::move(run));
    view.step->move(task, TaskPhase::Placed);
    view.step->setCopyRequested(task, false);
    task.lastRun = number;
    ++task.liveRuns;

    StartOrder order;
    order.task = key.first;
    order.run = number;
    order.spec = view.job->record.spec.spec;
    order.leaseUntil = m_links.grantLease(worker);
    order.fencingToken = worker.token;
    order.checkpoint = added.checkpoint;
    order.incarnation = worker.born;
    if (const auto ticket = view.step->advice.allowed.find(worker.entry.id);
        ticket != view.step->advice.allowed.end()) {
        order.ticket = ticket->second.value;
    }
    m_ports.metrics.count("starts.sent");
    m_sender.start(
        targetOf(worker), order,
        [this, id = worker.entry.id, born = worker.born, key] {
            const Run *sent = findRun(id, born, key);
            return sent != nullptr && mayRepeatStart(*sent);
        },
        [this, id = worker.entry.id, born = worker.born, key](const StartOutcome &outcome) {
            handleStartOutcome(id, born, key, outcome);
        });
}

bool Scheduler::mayRepeatStart(const Run &run)
{
    // The steps of a job that has ended are not kept.
    const Task *task = m_jobs.findTask(run.task);
    const bool done = task == nullptr || task->phase == TaskPhase::Done;
    return run.phase != RunPhase::Stopping && !done && m_ports.lease.exclusive();
}

void Scheduler::handleStartOutcome(const std::string &id, std::int64_t born, const RunKey &key,
                                   const StartOutcome &outcome)
{
    if (std::exchange(m_windowFull, false))
        requestPass();
    Worker *incarnation = findIncarnation(id, born);
    if (incarnation == nullptr)
        return;
    Worker &worker = *incarnation;
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end())
        return;
    Run &run = found->second;
    run.startPending = false;
    if (const auto *accepted = std::get_if<OrderAccepted>(&outcome)) {
        m_links.readClock(worker, accepted->clock);
        confirmRunning(run);
        if (Job *job = m_jobs.find(key.first.job); job != nullptr && job->active()) {
            job->everStarted = true;
            job->status = JobStatus::Running;
        }
        m_links.pollSoon(id);
    } else if (const auto *rejection = std::get_if<StartRejected>(&outcome)) {
        handleStartRejection(worker, key, *rejection);
    } else {
        m_ports.log.write(
            now(), "start.unanswered",
            { { "task", key.first.text() }, { "run", key.second }, { "worker", id } });
        m_ports.metrics.count("starts.unanswered");
        pause(worker, now(), refusalPause);
        m_links.assumeLongestLease(worker);
        if (const auto &clock = std::get<StartUnknown>(outcome).clock)
            m_links.readClock(worker, *clock);
        run.outcomeUnknown = true;
        run.unknownSince = now();
        // The worker may only be slow: an inventory that arrives in time shows whether the run
        // started.
        m_links.pollSoon(id);
        m_ports.timers.after(unknownStartTimeout, [this, alive = m_alive, id, born, key] {
            if (*alive)
                abandonUnknownStart(id, born, key);
        });
    }
}

void Scheduler::abandonUnknownStart(const std::string &id, std::int64_t born, const RunKey &key)
{
    Run *run = findRun(id, born, key);
    if (run == nullptr || run->phase != RunPhase::Starting || !run->outcomeUnknown)
        return;
    stopRun(*findIncarnation(id, born), *run, "start not confirmed");
    if (run->gang)
        abortGang(key.first, key.second, "start of a gang member not confirmed");
}

void Scheduler::handleStartRejection(Worker &worker, const RunKey &key,
                                     const StartRejected &rejection)
{
    m_ports.log.write(now(), "start.rejected",
                      { { "task", key.first.text() },
                        { "run", key.second },
                        { "worker", worker.entry.id },
                        { "reason", toString(rejection.reason) },
                        { "connectionFailed", rejection.connectionFailed } });
    m_ports.metrics.count(std::string("starts.rejected.") + toString(rejection.reason));
    const bool gang = worker.runs.at(key).gang;
    releaseRun(worker, key, "");
    Step *step = m_jobs.findStep(key.first);
    switch (rejection.reason) {
    case OrderRefusal::Fenced:
        m_fenced();
        return;
    case OrderRefusal::BadTicket:
        if (step != nullptr)
            step->advice.allowed[worker.entry.id].value.clear();
        break;
    case OrderRefusal::OldRun:
    case OrderRefusal::Late:
    case OrderRefusal::OtherLife:
    case OrderRefusal::NoRoom:
        // The next inventory updates the worker's clock, incarnation and runs.
        worker.fenced = false;
        m_links.pollSoon(worker.entry.id);
        break;
    case OrderRefusal::Unhealthy:
    case OrderRefusal::Malformed:
        pause(worker, now(), refusalPause);
        m_links.pollSoon(worker.entry.id);
        break;
    }
    if (gang)
        abortGang(key.first, key.second, "start of a gang member rejected");
    requestPass();
}

void Scheduler::stopRun(Worker &worker, Run &run, const char *reason)
{
    if (run.phase == RunPhase::Stopping)
        return;
    m_ports.log.write(now(), "run.stopping",
                      { { "task", run.task.text() },
                        { "run", run.number },
                        { "worker", worker.entry.id },
                        { "reason", reason } });
    sendStop(worker, run);
}

void Scheduler::sendStop(Worker &worker, Run &run)
{
    run.phase = RunPhase::Stopping;
    run.stopConfirmed.reset();
    const RunKey key(run.task, run.number);
    const auto current = [this, id = worker.entry.id, born = worker.born, key] {
        return findRun(id, born, key);
    };
    m_sender.stop(
        targetOf(worker), { key.first, key.second, worker.token },
        [current] { return current() != nullptr; },
        [this, current, id = worker.entry.id](bool accepted) {
            if (Run *stopped = current(); stopped != nullptr && accepted) {
                stopped->stopConfirmed = now();
                m_links.pollSoon(id);
            }
        });
}

} // namespace cowsliprock::cell
