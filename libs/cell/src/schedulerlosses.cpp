#include "scheduler.h"

#include <set>
#include <utility>

namespace cowsliprock::cell {

namespace {

template <typename Rows>
std::set<RunKey> keysOf(const Rows &rows)
{
    std::set<RunKey> keys;
    for (const auto &row : rows)
        keys.emplace(row.task, row.run);
    return keys;
}

} // namespace

void Scheduler::handleNewIncarnation(Worker &worker, const Inventory &inventory,
                                     TimePoint requestedAt)
{
    const auto running = keysOf(inventory.running);
    const auto finished = keysOf(inventory.finished);
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
        recordCrash(worker, run, WorkerLoss::Crashed);
    releaseLostRuns(worker, lost, WorkerLoss::Crashed);
    processInventory(worker, inventory, requestedAt);
}

void Scheduler::releaseAllRuns(Worker &worker, WorkerLoss loss)
{
    std::vector<RunKey> keys;
    for (const auto &[key, run] : worker.runs)
        keys.push_back(key);
    releaseLostRuns(worker, keys, loss);
    m_roster.updateIfNeeded(worker);
}

void Scheduler::releaseLostRuns(Worker &worker, const std::vector<RunKey> &lost, WorkerLoss loss)
{
    const bool crashed = loss == WorkerLoss::Crashed;
    for (const auto &key : lost) {
        m_ports.log.write(now(), "run.lost",
                          { { "task", key.first.text() },
                            { "run", key.second },
                            { "worker", worker.entry.id },
                            { "ownershipRevision", m_settings.ownershipRevision },
                            { "silentMs", toMilliseconds(now() - worker.lastContact) },
                            { "reason", crashed ? "worker restarted" : "worker leases expired" } });
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

void Scheduler::recordCrash(const Worker &worker, const Run &run, WorkerLoss loss)
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
    crashes.atStart += loss == WorkerLoss::Crashed && !run.listed ? 1 : 0;
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
