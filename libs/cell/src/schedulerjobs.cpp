#include "keys.h"
#include "scheduler.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Delay before a failed task is restarted, so that its end is recorded first.
constexpr std::chrono::milliseconds retryPause{ 20 };
/// Upper bound on the timer for a scheduled occurrence, since the wall clock may jump.
constexpr std::chrono::milliseconds maxOccurrenceSleep{ 500 };

} // namespace

void Scheduler::jobStored(const JobRecord &record, std::uint64_t created,
                          const std::optional<JobProgress> &progress)
{
    if (Job *known = m_jobs.find(record.id)) {
        if (record.cancelled && known->active())
            cancel(*known);
        return;
    }
    Job &job = m_jobs.insert(makeJob(record, created, now(), progress));
    if (m_configuration && m_configuration->version >= record.configurationVersion) {
        if (const auto *queue = m_configuration->findQueue(record.queue.name))
            job.record.queue = *queue;
    }
    // Without a note no task of it was ever started.
    job.mayHaveRunsOfEarlierOwner = m_recovering && progress.has_value();
    m_ports.log.write(now(), "job.known",
                      { { "job", record.id },
                        { "queue", record.queue.name },
                        { "revision", created },
                        { "status", toString(job.status) },
                        { "progress", progress.has_value() },
                        { "steps", static_cast<std::uint64_t>(record.spec.steps.size()) } });
    if (!job.active()) {
        // The previous owner recorded the end, the job was cancelled before it had an owner, or it
        // cannot be run.
        if (job.defect)
            reportDefect(job);
        persistJobEnd(job);
        return;
    }
    classify(job);
    m_activeJobs.insert(&job);
    beginDueOccurrences(job);
    scheduleJobEvaluation(record.id);
}

void Scheduler::reportDefect(const Job &job)
{
    m_ports.log.write(now(), "job.cannotRun",
                      { { "job", job.record.id }, { "reason", *job.defect } });
    m_ports.metrics.count("jobs.cannotRun");
}

void Scheduler::jobRemoved(const std::string &id)
{
    Job *job = m_jobs.find(id);
    // Records of ended jobs are removed by this owner itself.
    if (job == nullptr || !job->active())
        return;
    m_ports.log.write(now(), "job.removed", { { "job", id } });
    stopAllRuns(id, "job removed");
    m_activeJobs.erase(job);
    m_jobs.erase(id);
    m_writer.remove(keys::state(m_settings.shard, id));
}

void Scheduler::persistJobEnd(Job &job)
{
    const auto &id = job.record.id;
    m_writer.writeFinal(keys::ended(m_settings.shard, id), toString(job.status),
                        { keys::job(m_settings.shard, id), keys::state(m_settings.shard, id) },
                        [this, id] { handleJobEndDurable(id); });
}

void Scheduler::handleJobEndDurable(const std::string &id)
{
    Job *job = m_jobs.find(id);
    if (job == nullptr)
        return;
    job->durableStatus = job->status;
    job->endDurableAt = now();
    const auto time = now() - job->firstSeenAt;
    m_ports.metrics.observe("job.seconds." + job->record.queue.name,
                            std::chrono::duration<double>(time).count());
    m_ports.log.write(
        now(), "job.ended",
        { { "job", id }, { "status", toString(job->status) }, { "ms", toMilliseconds(time) } });
}

void Scheduler::beginDueOccurrences(Job &job)
{
    if (job.record.spec.repeatCount == 0) {
        if (job.occurrences.empty())
            beginOccurrence(job, 0, now());
        return;
    }
    const auto timeOfDay = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_ports.timers.timeOfDay().time_since_epoch());
    for (std::uint32_t number = 0; number < job.record.spec.repeatCount; ++number) {
        if (job.occurrences.contains(number))
            continue;
        const auto due = job.record.spec.firstStart + number * job.record.spec.interval;
        if (due > timeOfDay) {
            const auto sleep = std::clamp<std::chrono::milliseconds>(
                due - timeOfDay, std::chrono::milliseconds(1), maxOccurrenceSleep);
            m_ports.timers.after(sleep, [this, alive = m_alive, id = job.record.id] {
                if (!*alive)
                    return;
                if (Job *known = m_jobs.find(id); known != nullptr && known->active())
                    beginDueOccurrences(*known);
            });
            return;
        }
        beginOccurrence(job, number, now());
        scheduleJobEvaluation(job.record.id);
    }
}

void Scheduler::jobCancelled(const std::string &id)
{
    if (Job *job = m_jobs.find(id); job != nullptr && job->active())
        cancel(*job);
}

void Scheduler::cancel(Job &job)
{
    job.record.cancelled = true;
    endJob(job, JobStatus::Cancelled);
}

void Scheduler::saveProgress(const Job &job, Urgency urgency, FencedWriter::Action durable)
{
    m_writer.write(keys::state(m_settings.shard, job.record.id), encode(progressOf(job)), urgency,
                   std::move(durable));
}

bool Scheduler::ensureStartRecorded(Job &job)
{
    if (job.startRecorded || job.startRecordPending)
        return job.startRecorded;
    // A successor has to know which jobs may be running on workers that it cannot reach.
    job.startRecordPending = true;
    saveProgress(job, Urgency::Now, [this, id = job.record.id] {
        if (Job *known = m_jobs.find(id)) {
            known->startRecorded = true;
            scheduleJobEvaluation(id);
        }
    });
    return false;
}

void Scheduler::handleTaskCompleted(const TaskId &id, std::uint32_t run)
{
    Job *job = m_jobs.find(id.job);
    Step *step = m_jobs.findStep(id);
    Task *task = m_jobs.findTask(id);
    if (task == nullptr || task->phase == TaskPhase::Done || !job->active())
        return;
    if (job->spec(id.step).longRunning) {
        restartLongRunning(*job, id, run, "gang member ended");
        return;
    }
    // A successor that adopts another run of the task concludes that nothing behind it has started.
    const bool otherRuns = !job->spec(id.step).speculative && hasOtherRuns(id, run);
    if (job->spec(id.step).gang) {
        // The end of one member completes the whole gang.
        for (auto &member : step->tasks)
            step->move(member, TaskPhase::Done);
    } else {
        step->move(*task, TaskPhase::Done);
        if (task->liveRuns > 0)
            stopOtherRuns(id, run);
    }
    if (otherRuns)
        awaitDurableEnd(*job, id);
    auto &occurrence = job->occurrences.at(id.occurrence);
    if (step->done()) {
        updateReadiness(*job, occurrence);
        const bool allBegun = job->occurrences.size() == job->occurrenceCount();
        const bool allDone = std::all_of(job->occurrences.begin(), job->occurrences.end(),
                                         [](const auto &entry) { return entry.second.done(); });
        if (allBegun && allDone) {
            endJob(*job, JobStatus::Completed);
            return;
        }
    }
    saveProgress(*job, Urgency::Soon);
    scheduleJobEvaluation(id.job);
}

bool Scheduler::hasOtherRuns(const TaskId &id, std::uint32_t run)
{
    const bool gang = m_jobs.find(id.job)->spec(id.step).gang;
    const Task &task = *m_jobs.findTask(id);
    if (!gang && task.liveRuns + task.strayRuns == 0)
        return false;
    bool found = false;
    forEachRunOf(id.job, [&](Worker &, const Run &other) {
        const bool same = gang ? other.task.stepText() == id.stepText() : other.task == id;
        found = found || (same && other.number != run);
    });
    return found;
}

void Scheduler::awaitDurableEnd(const Job &job, const TaskId &id)
{
    ++m_jobs.findStep(id)->unsavedEnds;
    saveProgress(job, Urgency::Now, [this, id] {
        Step *step = m_jobs.findStep(id);
        if (step == nullptr || step->unsavedEnds == 0)
            return;
        --step->unsavedEnds;
        Job &known = *m_jobs.find(id.job);
        updateReadiness(known, known.occurrences.at(id.occurrence));
        scheduleJobEvaluation(id.job);
    });
}

void Scheduler::restartLongRunning(Job &job, const TaskId &id, std::uint32_t run,
                                   const char *reason)
{
    Step &step = *m_jobs.findStep(id);
    const bool gang = job.spec(id.step).gang;
    // Only the newest run is recorded: the number of restarts is not limited.
    auto &ended = step.failuresOf(gang ? 0 : id.index).runs;
    if (!ended.empty() && ended.front() >= run)
        return;
    ended = { run };
    step.tasks[id.index].notBefore = now() + retryPause;
    saveProgress(job, Urgency::Soon);
    if (gang)
        abortGang(id, run, reason);
    requestPassAfter(retryPause);
}

void Scheduler::handleTaskFailed(Worker &worker, const TaskId &id, std::uint32_t run)
{
    Job *job = m_jobs.find(id.job);
    Step *step = m_jobs.findStep(id);
    Task *task = m_jobs.findTask(id);
    if (task == nullptr || !job->active() || task->phase == TaskPhase::Done)
        return;
    task->avoid(worker.entry.id);
    if (job->spec(id.step).longRunning) {
        m_ports.log.write(now(), "task.failed",
                          { { "task", id.text() }, { "run", run }, { "worker", worker.entry.id } });
        restartLongRunning(*job, id, run, "gang member failed");
        return;
    }
    const bool gang = job->spec(id.step).gang;
    auto &failures = step->failuresOf(gang ? 0 : id.index);
    task->notBefore = now() + retryPause;
    if (std::find(failures.runs.begin(), failures.runs.end(), run) != failures.runs.end())
        return;
    failures.runs.push_back(run);
    const auto count = static_cast<std::uint32_t>(failures.runs.size());
    m_ports.log.write(now(), "task.failed",
                      { { "task", id.text() },
                        { "run", run },
                        { "worker", worker.entry.id },
                        { "failures", count },
                        { "allowed", job->record.queue.maxAttempts } });
    if (count >= job->record.queue.maxAttempts) {
        endJob(*job, JobStatus::Failed);
        return;
    }
    saveProgress(*job, Urgency::Soon);
    if (gang)
        abortGang(id, run, "gang member failed");
    requestPassAfter(retryPause);
}

void Scheduler::forEachRunOf(const std::string &job,
                             const std::function<void(Worker &, Run &)> &action)
{
    for (const auto &id : m_jobRuns.workersOf(job)) {
        const auto entry = m_workers.find(id);
        if (entry == m_workers.end())
            continue;
        Worker &worker = entry->second;
        m_ports.metrics.count("scheduler.runsLookedAt", worker.runs.size());
        for (auto &[key, run] : worker.runs) {
            if (key.first.job == job)
                action(worker, run);
        }
    }
}

void Scheduler::abortGang(const TaskId &member, std::uint32_t run, const char *reason)
{
    forEachRunOf(member.job, [&](Worker &worker, Run &candidate) {
        const bool same = candidate.number == run && candidate.task.step == member.step
            && candidate.task.occurrence == member.occurrence;
        if (same)
            stopRun(worker, candidate, reason);
    });
}

void Scheduler::stopOtherRuns(const TaskId &task, std::uint32_t run)
{
    forEachRunOf(task.job, [&](Worker &worker, Run &candidate) {
        if (candidate.task == task && candidate.number != run)
            stopRun(worker, candidate, "another copy completed");
    });
}

void Scheduler::stopAllRuns(const std::string &job, const char *reason)
{
    forEachRunOf(job, [&](Worker &worker, Run &run) { stopRun(worker, run, reason); });
}

void Scheduler::endJob(Job &job, JobStatus status)
{
    job.status = status;
    m_activeJobs.erase(&job);
    persistJobEnd(job);
    m_ports.metrics.count(std::string("jobs.") + toString(status));
    if (status != JobStatus::Completed)
        stopAllRuns(job.record.id, toString(status));
    // The steps are kept: workers may still report runs, whose resources have to be accounted for.
    job.occurrences.clear();
    job.record.spec.spec.clear();
    requestPass();
}

void Scheduler::finishRecovery()
{
    m_recovering = false;
    m_ports.log.write(now(), "shard.recovered",
                      { { "shard", m_settings.shard },
                        { "jobs", static_cast<std::uint64_t>(m_activeJobs.size()) },
                        { "workers", static_cast<std::uint64_t>(m_workers.size()) } });
    releaseReconciledJobs();
}

void Scheduler::releaseReconciledJobs()
{
    std::set<std::string> mayRun;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.usedByPreviousOwner || worker.reconciled)
            continue;
        if (!worker.previousOwnerJobs)
            return;
        mayRun.insert(worker.previousOwnerJobs->begin(), worker.previousOwnerJobs->end());
    }
    for (Job *job : m_activeJobs) {
        if (!job->mayHaveRunsOfEarlierOwner || mayRun.contains(job->record.id))
            continue;
        job->mayHaveRunsOfEarlierOwner = false;
        abortPartialGangs(*job);
        requestPass();
    }
}

void Scheduler::abortPartialGangs(const Job &job)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
            const auto &tasks = occurrence.steps[index].tasks;
            const auto isPlaced = [](const Task &task) { return task.phase == TaskPhase::Placed; };
            const auto placed = std::count_if(tasks.begin(), tasks.end(), isPlaced);
            if (!job.spec(index).gang || placed == 0
                || static_cast<std::size_t>(placed) == tasks.size()) {
                continue;
            }
            const auto member = std::find_if(tasks.begin(), tasks.end(), isPlaced);
            abortGang({ job.record.id, number, index, 0 }, member->lastRun,
                      "gang members lost during take-over");
        }
    }
}

} // namespace cowsliprock::cell
