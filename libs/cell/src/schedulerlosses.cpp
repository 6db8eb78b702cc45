#include "scheduler.h"

#include <set>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// A worker that crashes within this time of the start of a task may have crashed because of it.
constexpr std::chrono::milliseconds crashAtStartWindow{ 500 };
/// Upper bound on the time from a crash until a poll shows that connections are refused.
constexpr std::chrono::milliseconds refusalDelay{ 500 };

template <typename Rows>
std::set<RunKey> keysOf(const Rows &rows)
{
    std::set<RunKey> keys;
    for (const auto &row : rows)
        keys.emplace(row.task, row.run);
    return keys;
}

/// When the worker crashed, as far as its refusal of connections tells.
std::optional<TimePoint> crashShownByRefusal(const Worker &worker)
{
    if (!worker.refusedSince)
        return std::nullopt;
    return *worker.refusedSince - refusalDelay;
}

/// True if the worker is known to have crashed soon after it began the run. A worker that did not
/// confirm the start may have crashed before the order arrived; one that was silent may have
/// crashed long after the start; and one that has listed the run has survived its start.
bool crashedAtStart(const Run &run, const std::optional<TimePoint> &crashedAt)
{
    return run.wasConfirmed() && !run.listed && crashedAt
        && *crashedAt >= run.confirmed - refusalDelay
        && *crashedAt <= run.confirmed + crashAtStartWindow;
}

} // namespace

void Scheduler::handleNewIncarnation(Worker &worker, const Inventory &inventory,
                                     TimePoint requestedAt)
{
    m_speeds.forget(worker.entry.id);
    worker.speed = 1;
    worker.speedClass = 0;
    const auto running = keysOf(inventory.running);
    const auto finished = keysOf(inventory.finished);
    // The former incarnation has crashed before the new one started.
    const auto refusal = crashShownByRefusal(worker);
    const WorkerLoss loss{ "worker restarted", refusal ? *refusal : now() - inventory.clock };
    std::vector<RunKey> lost;
    std::vector<Run> unlisted;
    for (auto &[key, run] : worker.runs) {
        if (finished.contains(key))
            continue;
        if (running.contains(key)) {
            // Its stop was sent to the former incarnation.
            if (run.phase == RunPhase::Stopping)
                sendStop(worker, run);
            continue;
        }
        if (!mayStillArrive(run, requestedAt)) {
            lost.push_back(key);
            continue;
        }
        // The former incarnation may have crashed before it could list the run.
        if (run.ordered < requestedAt && !std::exchange(run.lossCounted, true))
            unlisted.push_back(run);
        if (run.phase == RunPhase::Stopping)
            sendStop(worker, run);
        else
            stopRun(worker, run, "worker restarted");
    }
    for (const auto &run : unlisted)
        recordCrash(worker, run, loss);
    releaseLostRuns(worker, lost, loss);
    processInventory(worker, inventory, requestedAt);
}

void Scheduler::handleReplacement(Worker &worker)
{
    releaseAllRuns(worker, { "worker replaced", crashShownByRefusal(worker) });
}

void Scheduler::releaseAllRuns(Worker &worker, const WorkerLoss &loss)
{
    std::vector<RunKey> keys;
    for (const auto &[key, run] : worker.runs)
        keys.push_back(key);
    releaseLostRuns(worker, keys, loss);
    m_roster.updateIfNeeded(worker);
}

void Scheduler::releaseLostRuns(Worker &worker, const std::vector<RunKey> &lost,
                                const WorkerLoss &loss)
{
    for (const auto &key : lost) {
        m_ports.log.write(now(), "run.lost",
                          { { "task", key.first.text() },
                            { "run", key.second },
                            { "worker", worker.entry.id },
                            { "ownershipRevision", m_settings.ownershipRevision },
                            { "silentMs", toMilliseconds(now() - worker.lastContact) },
                            { "reason", loss.reason } });
        const Run run = worker.runs.at(key);
        releaseRun(worker, key, run.checkpoint);
        if (run.gang)
            abortGang(key.first, key.second, "gang member lost");
        if (!run.lossCounted)
            recordCrash(worker, run, loss);
    }
    if (!lost.empty())
        requestPass();
}

void Scheduler::recordCrash(const Worker &worker, const Run &run, const WorkerLoss &loss)
{
    Job *job = m_jobs.find(run.task.job);
    Step *step = m_jobs.findStep(run.task);
    if (job == nullptr || !job->active() || step == nullptr || run.stray)
        return;
    // The members of a gang are counted separately: only some of them crash their workers.
    auto &crashes = step->crashesOf(run.task.index);
    if (worksLong(run, worker.lastContact)) {
        crashes.atStart = 0;
        crashes.all = 0;
        return;
    }
    crashes.atStart += crashedAtStart(run, loss.crashedAt) ? 1 : 0;
    ++crashes.all;
    m_ports.log.write(now(), "task.lostWithWorker",
                      { { "task", run.task.text() },
                        { "run", run.number },
                        { "worker", worker.entry.id },
                        { "crashesAtStart", crashes.atStart },
                        { "crashes", crashes.all } });
    if (crashesItsWorkers(crashes)) {
        m_ports.metrics.count("tasks.givenUp");
        endJob(*job, JobStatus::Failed);
        return;
    }
    saveProgress(*job, Urgency::Soon);
}

} // namespace cowsliprock::cell
