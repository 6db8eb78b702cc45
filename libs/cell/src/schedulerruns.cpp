#include "scheduler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// A run that is stopped saves its progress within this time.
constexpr std::chrono::milliseconds stopReserve{ 900 };
constexpr std::uint32_t hundredPercent = 100;

} // namespace

Worker *Scheduler::findLife(const std::string &worker, std::int64_t born)
{
    const auto entry = m_workers.find(worker);
    return entry == m_workers.end() || entry->second.born != born ? nullptr : &entry->second;
}

Run *Scheduler::findRun(const std::string &worker, std::int64_t born, const RunKey &key)
{
    Worker *life = findLife(worker, born);
    if (life == nullptr)
        return nullptr;
    const auto found = life->runs.find(key);
    return found == life->runs.end() ? nullptr : &found->second;
}

void Scheduler::confirmRunning(Run &run)
{
    if (run.phase != RunPhase::Starting)
        return;
    run.phase = RunPhase::Running;
    run.confirmed = now();
    // Saved progress has to be loaded first.
    run.progressed = now() + (run.checkpoint.empty() ? Duration::zero() : Duration(restoreTime));
}

void Scheduler::takeInventory(Worker &worker, const Inventory &inventory, TimePoint asked)
{
    bool newEnds = false;
    for (const auto &end : inventory.finished) {
        if (end.number <= worker.handledEnds)
            continue;
        endRun(worker, end);
        worker.handledEnds = end.number;
        worker.jobsOfEnds.insert(end.task.job);
        newEnds = true;
    }
    for (const auto &row : inventory.running)
        takeRunning(worker, row);
    dropMissing(worker, inventory, asked);
    checkProgress(worker);
    if (std::exchange(worker.awaitedEnds, worker.handledEnds) != worker.handledEnds) {
        m_writer.whenDurable(
            [this, id = worker.entry.id, born = worker.born, number = worker.handledEnds] {
                Worker *stored = findLife(id, born);
                if (stored == nullptr)
                    return;
                stored->durableEnds = std::max(stored->durableEnds, number);
                if (stored->durableEnds == stored->handledEnds)
                    stored->jobsOfEnds.clear();
                m_links.poke(id);
            });
    }
    m_roster.check(worker);
    if (newEnds)
        requestPass();
}

void Scheduler::takeRunning(Worker &worker, const RunningTask &row)
{
    const auto found = worker.runs.find({ row.task, row.run });
    if (found == worker.runs.end()) {
        adopt(worker, row);
        return;
    }
    Run &run = found->second;
    confirmRunning(run);
    run.listed = true;
    if (row.percent > run.percent)
        run.progressed = std::max(run.progressed, now());
    run.percent = row.percent;
    run.checkpoint = row.checkpoint;
}

void Scheduler::adopt(Worker &worker, const RunningTask &row)
{
    Job *job = m_jobs.find(row.task.job);
    Task *task = m_jobs.findTask(row.task);
    const bool wanted = job != nullptr && job->active() && task != nullptr
        && task->phase == TaskPhase::Waiting && row.run >= task->lastRun;
    Run run;
    run.task = row.task;
    run.number = row.run;
    run.ordered = now();
    run.confirmed = now();
    run.progressed = now();
    run.adopted = true;
    run.listed = true;
    run.percent = row.percent;
    run.checkpoint = row.checkpoint;
    run.phase = RunPhase::Running;
    if (job != nullptr && row.task.step < job->record.spec.steps.size()) {
        const auto &spec = job->spec(row.task.step);
        run.held = heldBy(spec);
        run.priority = job->record.queue.priority;
        run.gang = spec.gang;
    } else {
        run.sizeUnknown = true;
    }
    m_ports.log.write(
        now(), wanted ? "run.adopted" : "run.unexpected",
        { { "task", row.task.text() }, { "run", row.run }, { "worker", worker.entry.id } });
    Run &added = recordRun(worker, std::move(run));
    if (!wanted) {
        stopRun(worker, added, "nothing wants this run");
        return;
    }
    m_jobs.findStep(row.task)->move(*task, TaskPhase::Placed);
    task->lastRun = row.run;
    ++task->liveRuns;
    job->everStarted = true;
    job->status = JobStatus::Running;
    accountFor(row.task);
}

void Scheduler::accountFor(const TaskId &adopted)
{
    Job &job = *m_jobs.find(adopted.job);
    // A second copy of the task may have ended without our knowledge.
    if (job.spec(adopted.step).speculative)
        return;
    m_jobs.findTask(adopted)->accountedFor = true;
    // While a step has something at work, nothing of the steps behind it was ever started.
    auto &steps = job.occurrences.at(adopted.occurrence).steps;
    std::vector<bool> behind(steps.size());
    for (std::uint32_t index = adopted.step + 1; index < steps.size(); ++index) {
        const auto &after = job.spec(index).after;
        behind[index] = std::any_of(after.begin(), after.end(), [&](std::uint32_t before) {
            return before == adopted.step || behind[before];
        });
        if (!behind[index])
            continue;
        for (auto &task : steps[index].tasks)
            task.accountedFor = true;
    }
}

void Scheduler::dropMissing(Worker &worker, const Inventory &inventory, TimePoint asked)
{
    std::set<RunKey> listed;
    for (const auto &row : inventory.running)
        listed.emplace(row.task, row.run);
    std::vector<RunKey> missing;
    std::vector<RunKey> notStarted;
    for (const auto &[key, run] : worker.runs) {
        if (listed.contains(key))
            continue;
        // It may still come: only a stop makes sure that it does not.
        if (run.phase == RunPhase::Starting && run.outcomeUnknown && run.unknownSince < asked)
            notStarted.push_back(key);
        const bool running = run.phase == RunPhase::Running && run.confirmed < asked;
        const bool stopped =
            run.phase == RunPhase::Stopping && run.stopConfirmed && *run.stopConfirmed < asked;
        if (running || stopped)
            missing.push_back(key);
    }
    for (const auto &key : notStarted)
        giveUpUnknownStart(worker.entry.id, worker.born, key);
    for (const auto &key : missing) {
        m_ports.log.write(
            now(), "run.missing",
            { { "task", key.first.text() }, { "run", key.second }, { "worker", worker.entry.id } });
        const bool gang = worker.runs.at(key).gang;
        releaseRun(worker, key, "");
        if (gang)
            abortGang(key.first, key.second, "a member is missing");
    }
    if (!missing.empty())
        requestPass();
}

void Scheduler::takeNewLife(Worker &worker, const Inventory &inventory, TimePoint asked)
{
    std::set<RunKey> listed;
    for (const auto &row : inventory.running)
        listed.emplace(row.task, row.run);
    for (const auto &end : inventory.finished)
        listed.emplace(end.task, end.run);
    std::vector<RunKey> lost;
    for (auto &[key, run] : worker.runs) {
        if (listed.contains(key))
            continue;
        if (!mayStillCome(run, asked))
            lost.push_back(key);
        else if (run.phase == RunPhase::Stopping)
            stopAgain(worker, run);
        else
            stopRun(worker, run, "the worker has a new life");
    }
    loseRuns(worker, lost, "the worker has a new life");
    takeInventory(worker, inventory, asked);
}

void Scheduler::endAllRuns(Worker &worker)
{
    std::vector<RunKey> keys;
    for (const auto &[key, run] : worker.runs)
        keys.push_back(key);
    loseRuns(worker, keys, "the worker's leases are over");
    m_roster.check(worker);
}

bool Scheduler::endsWithin(const Run &run, Duration time) const
{
    const Job *job = m_jobs.find(run.task.job);
    if (job == nullptr || run.task.step >= job->record.spec.steps.size())
        return true;
    const auto &spec = job->spec(run.task.step);
    if (spec.longRunning)
        return false;
    const auto elapsed = now() - run.ordered;
    const Duration rest = run.percent > 0
        ? elapsed * (hundredPercent - std::min(run.percent, hundredPercent)) / run.percent
        : std::max(spec.estimate - elapsed, Duration::zero());
    return rest <= time;
}

void Scheduler::evacuate(Worker &worker)
{
    // What cannot end in time is better begun elsewhere now than when the worker is gone.
    std::vector<RunKey> hopeless;
    for (const auto &[key, run] : worker.runs) {
        if (run.phase != RunPhase::Stopping
            && !endsWithin(run, worker.entry.remaining - stopReserve)) {
            hopeless.push_back(key);
        }
    }
    for (const auto &key : hopeless) {
        const auto run = worker.runs.find(key);
        if (run == worker.runs.end() || run->second.phase == RunPhase::Stopping)
            continue;
        if (run->second.gang)
            abortGang(key.first, key.second, "the worker of a member leaves");
        else
            stopRun(worker, run->second, "its worker leaves");
    }
}

void Scheduler::loseRuns(Worker &worker, const std::vector<RunKey> &lost, const char *reason)
{
    for (const auto &key : lost) {
        m_ports.log.write(now(), "run.lost",
                          { { "task", key.first.text() },
                            { "run", key.second },
                            { "worker", worker.entry.id },
                            { "reason", reason } });
        const auto &run = worker.runs.at(key);
        const bool gang = run.gang;
        releaseRun(worker, key, run.checkpoint);
        if (gang)
            abortGang(key.first, key.second, "a member was lost");
    }
    if (!lost.empty())
        requestPass();
}

void Scheduler::logEnd(const Worker &worker, const FinishedTask &end)
{
    const auto write = end.kind == EndKind::Done ? &EventLog::writeRoutine : &EventLog::write;
    (m_ports.log.*write)(now(), "run.ended",
                         { { "task", end.task.text() },
                           { "run", end.run },
                           { "worker", worker.entry.id },
                           { "end", end.number },
                           { "how", toString(end.kind) } });
}

void Scheduler::endRun(Worker &worker, const FinishedTask &end)
{
    logEnd(worker, end);
    m_ports.metrics.count(std::string("runs.") + toString(end.kind));
    const RunKey key(end.task, end.run);
    const auto found = worker.runs.find(key);
    const bool gang = found != worker.runs.end() && found->second.gang;
    if (found != worker.runs.end() && end.kind == EndKind::Done)
        notePace(worker, found->second, now() - found->second.confirmed);
    releaseRun(worker, key, end.checkpoint);
    if (end.kind == EndKind::Done) {
        noteSuccess(worker);
        taskDone(end.task, end.run);
        return;
    }
    if (end.kind == EndKind::Failed) {
        if (noteFailure(worker, end.task.job, now())) {
            m_ports.log.write(
                now(), "worker.quarantined",
                { { "worker", worker.entry.id }, { "failures", worker.health.failuresInRow } });
        }
        taskFailed(worker, end.task, end.run);
        return;
    }
    if (gang)
        abortGang(end.task, end.run, "a member has ended");
}

Run &Scheduler::recordRun(Worker &worker, Run run)
{
    m_jobRuns.added(run.task.job, worker.entry.id);
    return addRun(worker, std::move(run));
}

void Scheduler::releaseRun(Worker &worker, const RunKey &key, std::string checkpoint)
{
    if (!removeRun(worker, key))
        return;
    m_jobRuns.removed(key.first.job, worker.entry.id);
    Task *task = m_jobs.findTask(key.first);
    if (task == nullptr)
        return;
    if (task->liveRuns > 0)
        --task->liveRuns;
    if (task->phase == TaskPhase::Done)
        return;
    if (!checkpoint.empty()) {
        const Job &job = *m_jobs.find(key.first.job);
        if (job.spec(key.first.step).gang)
            m_jobs.findStep(key.first)->tasks.front().checkpoint = std::move(checkpoint);
        else
            task->checkpoint = std::move(checkpoint);
    }
    if (task->liveRuns == 0)
        m_jobs.findStep(key.first)->move(*task, TaskPhase::Waiting);
}

} // namespace cowsliprock::cell
