#include "scheduler.h"

#include "stragglers.h"

#include <algorithm>

namespace cowsliprock::cell {

namespace {

/// A worker with straggling runs receives no new tasks for this long.
constexpr std::chrono::seconds slowWorkerCooldown{ 5 };
/// Maximum number of concurrent runs of a speculative task.
constexpr std::uint32_t maxConcurrentRuns = 2;

} // namespace

void Scheduler::recordPace(const Worker &worker, const Run &run, Duration projected)
{
    Task *task = m_jobs.findTask(run.task);
    // The start time of an adopted run is unknown.
    if (task == nullptr || run.adopted)
        return;
    task->worker = worker.entry.id;
    task->projected = projected;
    task->workerSpeed = worker.speed;
}

StepPace Scheduler::paceOf(const Worker &worker, const Run &run)
{
    StepPace pace;
    const Job *job = m_jobs.find(run.task.job);
    pace.estimate = job->spec(run.task.step).estimate;
    for (const auto &task : m_jobs.findStep(run.task)->tasks) {
        if (task.projected > Duration::zero() && task.worker != worker.entry.id) {
            pace.siblings.push_back(
                std::chrono::duration_cast<Duration>(task.projected * task.workerSpeed));
        }
    }
    pace.speed = worker.speed;
    return pace;
}

RunPace Scheduler::runPace(const Worker &worker, const Run &run)
{
    const Job *job = m_jobs.find(run.task.job);
    const Step *step = m_jobs.findStep(run.task);
    if (run.phase != RunPhase::Running || run.gang || job == nullptr || step == nullptr)
        return RunPace::Unknown;
    const auto &spec = job->spec(run.task.step);
    // The pace of these depends on co-located work or on the distance to their data, or they never
    // end.
    if (spec.longRunning || spec.bestEffort || spec.sameRack || !spec.preferredRack.empty())
        return RunPace::Unknown;
    const auto current = now();
    const RunProgress progress{ current - run.confirmed, run.percent, current - run.progressed };
    if (run.percent > 0)
        recordPace(worker, run, projectedTime(progress));
    return paceOfRun(progress, paceOf(worker, run), spec.checkpointing);
}

std::vector<RunKey> Scheduler::stragglersOf(const Worker &worker)
{
    std::vector<RunKey> behind;
    std::vector<RunKey> stragglers;
    OtherRuns runs;
    for (const auto &[key, run] : worker.runs) {
        const auto pace = runPace(worker, run);
        runs.known += pace == RunPace::Unknown ? 0 : 1;
        runs.slow += pace == RunPace::Unknown || pace == RunPace::Sound ? 0 : 1;
        const Task *task = m_jobs.findTask(key.first);
        if (task == nullptr || task->rescheduled)
            continue;
        if (pace == RunPace::Behind)
            behind.push_back(key);
        else if (pace == RunPace::Stalled)
            stragglers.push_back(key);
    }
    if (behind.empty())
        return stragglers;
    const auto &id = worker.entry.id;
    const SpeedEvidence ended{ m_speeds.evidence(id), m_speeds.speed(id) / m_slowSpeed };
    if (isSlowByOthers({ runs.known - 1, runs.slow - 1 }, ended))
        stragglers.insert(stragglers.end(), behind.begin(), behind.end());
    else
        m_ports.metrics.count("tasks.long", behind.size());
    return stragglers;
}

void Scheduler::checkProgress(Worker &worker)
{
    const auto stragglers = stragglersOf(worker);
    if (stragglers.empty() || !excludeSlowWorker(worker))
        return;
    for (const auto &key : stragglers) {
        if (const auto run = worker.runs.find(key); run != worker.runs.end())
            restartElsewhere(worker, run->second);
    }
    requestPass();
}

bool Scheduler::mayExclude(const Worker &worker) const
{
    std::size_t workers = 0;
    std::size_t excluded = 0;
    const auto current = now();
    for (const auto &[id, other] : m_workers) {
        if (other.entry.service != worker.entry.service)
            continue;
        ++workers;
        excluded += other.health.excludedAt(current) ? 1 : 0;
    }
    return mayExcludeWorker(excluded, workers);
}

bool Scheduler::excludeSlowWorker(Worker &worker)
{
    const auto current = now();
    if (!worker.health.excludedAt(current) && !mayExclude(worker))
        return false;
    if (worker.health.slowUntil <= current) {
        m_ports.log.write(current, "worker.slow", { { "worker", worker.entry.id } });
        m_ports.metrics.count("workers.slow");
    }
    worker.health.slowUntil = current + slowWorkerCooldown;
    return true;
}

void Scheduler::quarantineFailingWorker(Worker &worker)
{
    if (!worker.health.excludedAt(now()) && !mayExclude(worker)) {
        m_ports.log.write(
            now(), "worker.keptThoughFailing",
            { { "worker", worker.entry.id }, { "failures", worker.health.consecutiveFailures } });
        m_ports.metrics.count("workers.keptThoughFailing");
        return;
    }
    quarantine(worker, now());
    m_ports.log.write(
        now(), "worker.quarantined",
        { { "worker", worker.entry.id }, { "failures", worker.health.consecutiveFailures } });
}

void Scheduler::restartElsewhere(Worker &worker, Run &run)
{
    Task *task = m_jobs.findTask(run.task);
    const Job *job = m_jobs.find(run.task.job);
    if (task == nullptr || task->phase != TaskPhase::Placed || task->rescheduled)
        return;
    const auto &id = worker.entry.id;
    task->rescheduled = true;
    task->avoid(id);
    if (!job->spec(run.task.step).speculative)
        stopRun(worker, run, "it has fallen behind");
    else if (task->liveRuns < maxConcurrentRuns)
        m_jobs.findStep(run.task)->setCopyRequested(*task, true);
}

void Scheduler::duplicateSpeculativeRuns(Worker &worker)
{
    for (auto &[key, run] : worker.runs) {
        const Job *job = m_jobs.find(run.task.job);
        if (job != nullptr && job->active() && job->spec(run.task.step).speculative && !run.gang)
            restartElsewhere(worker, run);
    }
    requestPass();
}

} // namespace cowsliprock::cell
