#include "scheduler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr std::uint32_t hundredPercent = 100;

} // namespace

Worker *Scheduler::findIncarnation(const std::string &worker, std::int64_t born)
{
    const auto entry = m_workers.find(worker);
    return entry == m_workers.end() || entry->second.born != born ? nullptr : &entry->second;
}

Run *Scheduler::findRun(const std::string &worker, std::int64_t born, const RunKey &key)
{
    Worker *incarnation = findIncarnation(worker, born);
    if (incarnation == nullptr)
        return nullptr;
    const auto found = incarnation->runs.find(key);
    return found == incarnation->runs.end() ? nullptr : &found->second;
}

void Scheduler::confirmRunning(Run &run)
{
    if (run.phase != RunPhase::Starting)
        return;
    run.phase = RunPhase::Running;
    run.confirmed = now();
    // A saved checkpoint has to be restored first.
    run.progressed = now() + (run.checkpoint.empty() ? Duration::zero() : Duration(restoreTime));
}

void Scheduler::processInventory(Worker &worker, const Inventory &inventory, TimePoint requestedAt)
{
    bool newEnds = false;
    for (const auto &end : inventory.finished) {
        if (end.number <= worker.processedEnds)
            continue;
        handleRunEnd(worker, end);
        worker.processedEnds = end.number;
        worker.jobsWithUnsavedEnds.insert(end.task.job);
        newEnds = true;
    }
    for (const auto &row : inventory.running)
        processRunningTask(worker, row);
    releaseMissingRuns(worker, inventory, requestedAt);
    checkProgress(worker);
    if (std::exchange(worker.awaitedEnds, worker.processedEnds) != worker.processedEnds) {
        m_writer.whenDurable(
            [this, id = worker.entry.id, born = worker.born, number = worker.processedEnds] {
                Worker *stored = findIncarnation(id, born);
                if (stored == nullptr)
                    return;
                stored->durableEnds = std::max(stored->durableEnds, number);
                if (stored->durableEnds == stored->processedEnds)
                    stored->jobsWithUnsavedEnds.clear();
                m_links.pollSoon(id);
            });
    }
    m_roster.updateIfNeeded(worker);
    if (newEnds)
        requestPass();
}

void Scheduler::processRunningTask(Worker &worker, const RunningTask &row)
{
    const auto found = worker.runs.find({ row.task, row.run });
    if (found == worker.runs.end()) {
        adoptRun(worker, row);
        return;
    }
    Run &run = found->second;
    confirmRunning(run);
    run.listed = true;
    if (row.percent > run.percent)
        run.progressed = std::max(run.progressed, now());
    run.percent = row.percent;
    run.checkpoint = row.checkpoint;
    recordProgress(worker, run, now());
}

void Scheduler::adoptRun(Worker &worker, const RunningTask &row)
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
        run.gang = spec.gang;
    } else {
        run.sizeUnknown = true;
    }
    run.stray = !wanted;
    logListedRun(worker, row, job, task, wanted);
    Run &added = recordRun(worker, std::move(run));
    if (!wanted) {
        if (task != nullptr)
            ++task->strayRuns;
        stopRun(worker, added, "unexpected run");
        return;
    }
    m_jobs.findStep(row.task)->move(*task, TaskPhase::Placed);
    task->lastRun = row.run;
    ++task->liveRuns;
    job->everStarted = true;
    job->status = JobStatus::Running;
    markReconciled(row.task);
}

void Scheduler::logListedRun(const Worker &worker, const RunningTask &row, const Job *job,
                             const Task *task, bool wanted)
{
    m_ports.log.write(now(), wanted ? "run.adopted" : "run.unexpected",
                      { { "task", row.task.text() },
                        { "run", row.run },
                        { "worker", worker.entry.id },
                        { "ownershipRevision", m_settings.ownershipRevision },
                        { "jobActive", job != nullptr && job->active() },
                        { "lastRun", task == nullptr ? 0U : task->lastRun },
                        { "liveRuns", task == nullptr ? 0U : task->liveRuns },
                        { "done", task != nullptr && task->phase == TaskPhase::Done } });
}

void Scheduler::markReconciled(const TaskId &adopted)
{
    Job &job = *m_jobs.find(adopted.job);
    // A speculative copy of the task may have ended without this owner having seen it.
    if (job.spec(adopted.step).speculative)
        return;
    m_jobs.findTask(adopted)->reconciled = true;
    // While a step is still running, no task of the steps that depend on it can have been started.
    auto &steps = job.occurrences.at(adopted.occurrence).steps;
    std::vector<bool> dependent(steps.size());
    for (std::uint32_t index = adopted.step + 1; index < steps.size(); ++index) {
        const auto &after = job.spec(index).after;
        dependent[index] = std::any_of(after.begin(), after.end(), [&](std::uint32_t before) {
            return before == adopted.step || dependent[before];
        });
        if (!dependent[index])
            continue;
        for (auto &task : steps[index].tasks)
            task.reconciled = true;
    }
}

void Scheduler::releaseMissingRuns(Worker &worker, const Inventory &inventory,
                                   TimePoint requestedAt)
{
    std::set<RunKey> listed;
    for (const auto &row : inventory.running)
        listed.emplace(row.task, row.run);
    std::vector<RunKey> missing;
    std::vector<RunKey> unlisted;
    std::vector<RunKey> notStarted;
    for (const auto &[key, run] : worker.runs) {
        if (listed.contains(key))
            continue;
        // The order may still arrive; only a stop rules that out.
        if (run.phase == RunPhase::Starting && run.outcomeUnknown && run.unknownSince < requestedAt)
            notStarted.push_back(key);
        if (run.phase == RunPhase::Running && run.confirmed < requestedAt)
            unlisted.push_back(key);
        // A run that is being stopped need not be listed until it has ended.
        if (run.phase == RunPhase::Stopping && run.stopConfirmed
            && *run.stopConfirmed + m_settings.stopTimeout <= requestedAt) {
            missing.push_back(key);
        }
    }
    for (const auto &key : notStarted)
        abandonUnknownStart(worker.entry.id, worker.born, key);
    // A missing run may be among the ends that are not listed yet.
    if (inventory.moreFinished) {
        logAwaitedEnds(worker, missing.size() + unlisted.size());
        return;
    }
    for (const auto &key : unlisted)
        stopUnlistedRun(worker, key);
    for (const auto &key : missing) {
        m_ports.log.write(
            now(), "run.missing",
            { { "task", key.first.text() },
              { "run", key.second },
              { "worker", worker.entry.id },
              { "askedMsAgo", toMilliseconds(now() - requestedAt) },
              { "confirmedMsAgo", toMilliseconds(now() - worker.runs.at(key).confirmed) },
              { "processedEnds", worker.processedEnds } });
        const bool gang = worker.runs.at(key).gang;
        releaseRun(worker, key, "");
        if (gang)
            abortGang(key.first, key.second, "gang member missing from inventory");
    }
    if (!missing.empty())
        requestPass();
}

void Scheduler::stopUnlistedRun(Worker &worker, const RunKey &key)
{
    Run &run = worker.runs.at(key);
    stopRun(worker, run, "missing from inventory");
    if (run.gang)
        abortGang(key.first, key.second, "gang member missing from inventory");
}

void Scheduler::logAwaitedEnds(const Worker &worker, std::size_t missing)
{
    m_ports.metrics.count("workers.endListsCut");
    m_ports.log.writeRoutine(now(), "worker.endsAwaited",
                             { { "worker", worker.entry.id },
                               { "processed", worker.processedEnds },
                               { "durable", worker.durableEnds },
                               { "missingRuns", static_cast<std::uint64_t>(missing) } });
}

const StepSpec *Scheduler::specOf(const Run &run) const
{
    const Job *job = m_jobs.find(run.task.job);
    return job == nullptr || run.task.step >= job->record.spec.steps.size()
        ? nullptr
        : &job->spec(run.task.step);
}

std::optional<Duration> Scheduler::expectedTimeLeft(const StepSpec &spec, const Run &run) const
{
    if (spec.longRunning)
        return std::nullopt;
    // As of its last report of progress.
    Duration left = spec.estimate;
    auto since = run.ordered;
    if (run.percent > 0) {
        since = run.progressed;
        const auto remaining = hundredPercent - std::min(run.percent, hundredPercent);
        // A part of the work was done before the run was resumed or adopted.
        left = run.resumed || run.adopted ? spec.estimate * remaining / hundredPercent
                                          : (since - run.ordered) * remaining / run.percent;
    }
    // An overdue run is expected to take as long again as it is overdue.
    return std::chrono::abs(left - (now() - since));
}

std::optional<TimePoint> Scheduler::expectedEnd(const Run &run) const
{
    if (run.phase == RunPhase::Stopping)
        return now() + m_settings.stopTimeout;
    const StepSpec *spec = specOf(run);
    const auto left = spec == nullptr ? std::nullopt : expectedTimeLeft(*spec, run);
    return left ? std::optional(now() + *left) : std::nullopt;
}

TimePoint Scheduler::expectedEnd(const StepSpec &spec) const
{
    return spec.longRunning ? TimePoint::max() : now() + expectedTime(spec.estimate);
}

bool Scheduler::finishesWithin(const Run &run, Duration time) const
{
    const StepSpec *spec = specOf(run);
    if (spec == nullptr)
        return true;
    const auto left = expectedTimeLeft(*spec, run);
    return left && *left <= time;
}

void Scheduler::evacuate(Worker &worker)
{
    // Runs that cannot finish before the worker leaves are restarted elsewhere right away.
    std::vector<RunKey> unfinishable;
    for (const auto &[key, run] : worker.runs) {
        if (run.phase != RunPhase::Stopping
            && !finishesWithin(run, worker.entry.remaining - m_settings.stopTimeout)) {
            unfinishable.push_back(key);
        }
    }
    for (const auto &key : unfinishable) {
        const auto run = worker.runs.find(key);
        if (run == worker.runs.end() || run->second.phase == RunPhase::Stopping)
            continue;
        if (run->second.gang)
            abortGang(key.first, key.second, "worker of a gang member is leaving");
        else
            stopRun(worker, run->second, "worker is leaving");
    }
}

void Scheduler::logRunEnd(const Worker &worker, const FinishedTask &end)
{
    const auto write = end.kind == EndKind::Done ? &EventLog::writeRoutine : &EventLog::write;
    (m_ports.log.*write)(now(), "run.ended",
                         { { "task", end.task.text() },
                           { "run", end.run },
                           { "worker", worker.entry.id },
                           { "end", end.number },
                           { "how", toString(end.kind) } });
}

FailedRun Scheduler::failedRun(const FinishedTask &end, const Run *run) const
{
    FailedRun failed{ end.task.job, {}, false };
    if (run == nullptr)
        return failed;
    failed.ordered = run->ordered;
    const Job *job = m_jobs.find(end.task.job);
    const bool longRunning = job != nullptr && end.task.step < job->record.spec.steps.size()
        && job->spec(end.task.step).longRunning;
    failed.workedLong = longRunning && worksLong(*run, now());
    return failed;
}

void Scheduler::handleRunEnd(Worker &worker, const FinishedTask &end)
{
    logRunEnd(worker, end);
    m_ports.metrics.count(std::string("runs.") + toString(end.kind));
    const RunKey key(end.task, end.run);
    const auto found = worker.runs.find(key);
    const bool gang = found != worker.runs.end() && found->second.gang;
    const bool paced = found != worker.runs.end() && found->second.wasConfirmed();
    if (paced && end.kind == EndKind::Done) {
        recordPace(worker, found->second, now() - found->second.confirmed);
        recordRunTime(found->second);
    }
    std::optional<FailedRun> failed;
    if (end.kind == EndKind::Failed)
        failed = failedRun(end, found == worker.runs.end() ? nullptr : &found->second);
    releaseRun(worker, key, end.checkpoint);
    if (end.kind == EndKind::Done) {
        recordSuccess(worker);
        handleTaskCompleted(end.task, end.run);
        return;
    }
    if (failed) {
        if (recordFailure(worker, *failed, now()))
            quarantineFailingWorker(worker);
        handleTaskFailed(worker, end.task, end.run);
        return;
    }
    if (gang)
        abortGang(end.task, end.run, "gang member ended");
}

Run &Scheduler::recordRun(Worker &worker, Run run)
{
    m_jobRuns.runAdded(run.task.job, worker.entry.id);
    if (const Job *job = m_jobs.find(run.task.job))
        run.customer = job->record.customer;
    const StepSpec *spec = specOf(run);
    run.lasting = spec != nullptr && spec->longRunning;
    m_quotas.runAdded(run.customer, run.held, run.lasting);
    return addRun(worker, std::move(run));
}

void Scheduler::releaseRun(Worker &worker, const RunKey &key, std::string checkpoint)
{
    const auto run = removeRun(worker, key);
    if (!run)
        return;
    m_jobRuns.runRemoved(key.first.job, worker.entry.id);
    m_quotas.runRemoved(run->customer, run->held, run->lasting);
    Task *task = m_jobs.findTask(key.first);
    if (task == nullptr)
        return;
    auto &runs = run->stray ? task->strayRuns : task->liveRuns;
    if (runs > 0)
        --runs;
    if (run->stray || task->phase == TaskPhase::Done)
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
