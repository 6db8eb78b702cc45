#include "keys.h"
#include "scheduler.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// A task that failed is started again after this time, so that its end is noted first.
constexpr std::chrono::milliseconds retryPause{ 20 };
/// Longest sleep until a scheduled occurrence is looked at again, since the time of day may jump.
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
        if (const auto *queue = m_configuration->queueNamed(record.queue.name))
            job.record.queue = *queue;
    }
    // Without a note no task of it was ever started.
    job.mayRunElsewhere = m_recovering && progress.has_value();
    m_ports.log.write(now(), "job.known",
                      { { "job", record.id },
                        { "queue", record.queue.name },
                        { "revision", created },
                        { "status", toString(job.status) },
                        { "steps", static_cast<std::uint64_t>(record.spec.steps.size()) } });
    if (!job.active()) {
        // The former owner noted the end, or the cancellation came before any owner.
        retire(job);
        return;
    }
    m_activeJobs.insert(&job);
    beginDueOccurrences(job);
    lookSoon(record.id);
}

void Scheduler::jobRemoved(const std::string &id)
{
    Job *job = m_jobs.find(id);
    // The record of an ended job is removed by this owner itself.
    if (job == nullptr || !job->active())
        return;
    m_ports.log.write(now(), "job.removed", { { "job", id } });
    stopAllRuns(id, "the job was removed");
    m_activeJobs.erase(job);
    m_jobs.erase(id);
    m_writer.remove(keys::state(m_settings.shard, id));
}

void Scheduler::retire(Job &job)
{
    const auto &id = job.record.id;
    m_writer.conclude(keys::ended(m_settings.shard, id), toString(job.status),
                      { keys::job(m_settings.shard, id), keys::state(m_settings.shard, id) },
                      [this, id] { endDurable(id); });
}

void Scheduler::endDurable(const std::string &id)
{
    Job *job = m_jobs.find(id);
    if (job == nullptr)
        return;
    job->durableStatus = job->status;
    const auto time = now() - job->seen;
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
        lookSoon(job.record.id);
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

void Scheduler::save(const Job &job, Urgency urgency, FencedWriter::Action durable)
{
    m_writer.write(keys::state(m_settings.shard, job.record.id), encode(progressOf(job)), urgency,
                   std::move(durable));
}

bool Scheduler::mayStart(Job &job)
{
    if (job.noted || job.noting)
        return job.noted;
    // A successor has to know which jobs may run on workers that it does not reach.
    job.noting = true;
    save(job, Urgency::Now, [this, id = job.record.id] {
        if (Job *known = m_jobs.find(id)) {
            known->noted = true;
            lookSoon(id);
        }
    });
    return false;
}

void Scheduler::taskDone(const TaskId &id, std::uint32_t run)
{
    Job *job = m_jobs.find(id.job);
    Step *step = m_jobs.findStep(id);
    Task *task = m_jobs.findTask(id);
    if (task == nullptr || task->phase == TaskPhase::Done || !job->active())
        return;
    if (job->spec(id.step).gang) {
        // One end stands for all members.
        for (auto &member : step->tasks)
            step->move(member, TaskPhase::Done);
    } else {
        step->move(*task, TaskPhase::Done);
        if (task->liveRuns > 0)
            stopOthers(id, run);
    }
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
    save(*job, Urgency::Soon);
    lookSoon(id.job);
}

void Scheduler::taskFailed(Worker &worker, const TaskId &id, std::uint32_t run)
{
    Job *job = m_jobs.find(id.job);
    Step *step = m_jobs.findStep(id);
    Task *task = m_jobs.findTask(id);
    if (task == nullptr || !job->active() || task->phase == TaskPhase::Done)
        return;
    const bool gang = job->spec(id.step).gang;
    auto &failures = step->failuresOf(gang ? 0 : id.index);
    task->avoid.push_back(worker.entry.id);
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
    if (!job->spec(id.step).longRunning && count >= job->record.queue.maxAttempts) {
        endJob(*job, JobStatus::Failed);
        return;
    }
    save(*job, Urgency::Soon);
    if (gang)
        abortGang(id, run, "a member has failed");
    m_ports.timers.after(retryPause, [this, alive = m_alive] {
        if (*alive)
            requestPass();
    });
}

void Scheduler::forRunsOf(const std::string &job,
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
    forRunsOf(member.job, [&](Worker &worker, Run &candidate) {
        const bool same = candidate.number == run && candidate.task.step == member.step
            && candidate.task.occurrence == member.occurrence;
        if (same)
            stopRun(worker, candidate, reason);
    });
}

void Scheduler::stopOthers(const TaskId &task, std::uint32_t run)
{
    forRunsOf(task.job, [&](Worker &worker, Run &candidate) {
        if (candidate.task == task && candidate.number != run)
            stopRun(worker, candidate, "another copy is done");
    });
}

void Scheduler::stopAllRuns(const std::string &job, const char *reason)
{
    forRunsOf(job, [&](Worker &worker, Run &run) { stopRun(worker, run, reason); });
}

void Scheduler::endJob(Job &job, JobStatus status)
{
    job.status = status;
    job.endedAt = now();
    m_activeJobs.erase(&job);
    retire(job);
    m_ports.metrics.count(std::string("jobs.") + toString(status));
    if (status != JobStatus::Completed)
        stopAllRuns(job.record.id, toString(status));
    // The steps are kept: a worker may still have to tell of runs, and their size counts.
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
    settleJobs();
}

void Scheduler::settleJobs()
{
    std::set<std::string> mayRun;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.usedBefore || worker.accountedFor)
            continue;
        if (!worker.formerJobs)
            return;
        mayRun.insert(worker.formerJobs->begin(), worker.formerJobs->end());
    }
    for (Job *job : m_activeJobs) {
        if (!job->mayRunElsewhere || mayRun.contains(job->record.id))
            continue;
        job->mayRunElsewhere = false;
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
                      "members were lost with an earlier owner");
        }
    }
}

} // namespace cowsliprock::cell
