#include "scheduler.h"

#include "stragglers.h"

#include <algorithm>

namespace cowsliprock::cell {

namespace {

/// A worker whose runs fall behind gets nothing new for this long.
constexpr std::chrono::seconds slowTime{ 5 };
/// Runs of one task that may be at work at a time, where copies are allowed.
constexpr std::uint32_t maxCopies = 2;

} // namespace

void Scheduler::notePace(const Worker &worker, const Run &run, Duration projected)
{
    Task *task = m_jobs.findTask(run.task);
    // The time at which an earlier owner began it is not known.
    if (task == nullptr || run.adopted)
        return;
    task->worker = worker.entry.id;
    task->projected = projected;
}

StepPace Scheduler::paceOf(const Worker &worker, const Run &run)
{
    StepPace pace;
    const Job *job = m_jobs.find(run.task.job);
    pace.estimate = job->spec(run.task.step).estimate;
    for (const auto &task : m_jobs.findStep(run.task)->tasks) {
        if (task.projected > Duration::zero() && task.worker != worker.entry.id)
            pace.siblings.push_back(task.projected);
    }
    return pace;
}

bool Scheduler::fallenBehind(const Worker &worker, const Run &run)
{
    const Job *job = m_jobs.find(run.task.job);
    const Step *step = m_jobs.findStep(run.task);
    if (run.phase != RunPhase::Running || run.gang || job == nullptr || step == nullptr)
        return false;
    const auto &spec = job->spec(run.task.step);
    // How fast these are depends on what else runs, on the way to their data, or they never end.
    if (spec.longRunning || spec.fills || spec.sameRack || !spec.preferredRack.empty())
        return false;
    const auto current = now();
    const RunProgress progress{ current - run.confirmed, run.percent, current - run.progressed };
    if (run.percent > 0)
        notePace(worker, run, projectedTime(progress));
    return !step->tasks.at(run.task.index).moved
        && isStraggler(progress, paceOf(worker, run), spec.checkpointing);
}

void Scheduler::checkProgress(Worker &worker)
{
    std::vector<RunKey> behind;
    for (const auto &[key, run] : worker.runs) {
        if (fallenBehind(worker, run))
            behind.push_back(key);
    }
    if (behind.empty() || !takeOut(worker))
        return;
    for (const auto &key : behind) {
        if (const auto run = worker.runs.find(key); run != worker.runs.end())
            beginElsewhere(worker, run->second);
    }
    requestPass();
}

bool Scheduler::takeOut(Worker &worker)
{
    const auto current = now();
    if (worker.health.slowUntil <= current) {
        const auto slow = std::count_if(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
            return entry.second.health.slowUntil > current;
        });
        if (!mayTakeOut(static_cast<std::size_t>(slow), m_workers.size()))
            return false;
        m_ports.log.write(current, "worker.slow", { { "worker", worker.entry.id } });
        m_ports.metrics.count("workers.slow");
    }
    worker.health.slowUntil = current + slowTime;
    return true;
}

void Scheduler::beginElsewhere(Worker &worker, Run &run)
{
    Task *task = m_jobs.findTask(run.task);
    const Job *job = m_jobs.find(run.task.job);
    if (task == nullptr || task->phase != TaskPhase::Placed || task->moved)
        return;
    const auto &id = worker.entry.id;
    task->moved = true;
    task->avoid.push_back(id);
    if (!job->spec(run.task.step).speculative)
        stopRun(worker, run, "it has fallen behind");
    else if (task->liveRuns < maxCopies)
        m_jobs.findStep(run.task)->wantCopy(*task, true);
}

void Scheduler::copyRunsOf(Worker &worker)
{
    for (auto &[key, run] : worker.runs) {
        const Job *job = m_jobs.find(run.task.job);
        if (job != nullptr && job->active() && job->spec(run.task.step).speculative && !run.gang)
            beginElsewhere(worker, run);
    }
    requestPass();
}

} // namespace cowsliprock::cell
