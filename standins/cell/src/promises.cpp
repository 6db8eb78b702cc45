#include <standincell/promises.h>

#include <algorithm>

namespace cowsliprock::standincell {

using namespace cell;

namespace {

/// After the cancellation of a job was acknowledged, its tasks may be started this long.
constexpr std::chrono::milliseconds cancelTime{ 3000 };
/// A copy of a task may be started this long after the end of another one was acknowledged.
constexpr std::chrono::seconds copyTime{ 1 };

} // namespace

Promises::Promises(Timers &timers)
    : m_timers(timers)
{ }

void Promises::submitted(const std::string &job, const JobSpec &spec, std::uint32_t maxAttempts)
{
    auto &view = m_jobs[job];
    view.spec = spec;
    view.maxAttempts = maxAttempts;
    // The promise is about jobs of which every try was refused: this one is not decided yet.
    view.refused = false;
}

void Promises::accepted(const std::string &job)
{
    m_jobs[job].accepted = true;
}

void Promises::refused(const std::string &job)
{
    auto &view = m_jobs[job];
    if (view.accepted)
        return;
    view.refused = true;
    if (!view.lastStart.empty())
        fail("REFUSED", view.lastStartOf, "its job was refused after a start");
}

void Promises::cancelRequested(const std::string &job)
{
    m_jobs[job].cancelRequested = true;
}

void Promises::cancelled(const std::string &job)
{
    m_jobs[job].cancelledAt = m_timers.now();
    m_jobs[job].ended = true;
}

void Promises::shown(const std::string &id, JobStatus status)
{
    auto &job = m_jobs[id];
    if (status == JobStatus::Completed) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            if (!stepDone(job, step))
                m_broken.push_back("COMPLETED too early: " + id);
        }
        job.ended = true;
    } else if (status == JobStatus::Failed) {
        const bool spent =
            std::any_of(job.failedRuns.begin(), job.failedRuns.end(), [&job](const auto &entry) {
                return entry.second.size() >= job.maxAttempts;
            });
        if (!spent)
            m_broken.push_back("FAILED without cause: " + id);
        job.ended = true;
    } else if (status == JobStatus::Cancelled) {
        // A request without an answer may have taken effect.
        if (!job.cancelRequested)
            m_broken.push_back("CANCELLED without cause: " + id);
        job.ended = true;
    }
}

void Promises::missing(const std::string &id)
{
    if (const auto &job = m_jobs[id]; job.accepted && !job.cancelRequested)
        m_broken.push_back("LOST " + id);
}

void Promises::crashed(const std::string &worker)
{
    for (auto &[task, runs] : m_running)
        std::erase_if(runs, [&worker](const auto &run) { return run.first == worker; });
}

bool Promises::stepDone(const JobView &job, std::uint32_t step)
{
    const auto finished = job.finished.find(step);
    const auto &spec = job.spec.steps.at(step);
    if (finished == job.finished.end())
        return false;
    return spec.gang ? !finished->second.empty() : finished->second.size() == spec.count;
}

bool Promises::copiesAllowed(const JobView &job, const TaskId &task)
{
    return task.step < job.spec.steps.size() && job.spec.steps[task.step].speculative;
}

std::string Promises::attemptKey(const JobView &job, const TaskId &task)
{
    // The members of a gang fail together.
    const bool gang = task.step < job.spec.steps.size() && job.spec.steps[task.step].gang;
    return gang ? task.stepText() : task.text();
}

void Promises::fail(const char *promise, const TaskId &task, const std::string &detail)
{
    m_broken.push_back(std::string(promise) + " " + task.text() + " at "
                       + std::to_string(m_timers.now().time_since_epoch().count() / 1000)
                       + " ms: " + detail);
}

void Promises::started(const std::string &worker, const TaskId &task, std::uint32_t run,
                       const Resources &heldBefore, const Resources &capacity)
{
    ++m_starts;
    ++m_startsOf[worker];
    auto &job = m_jobs[task.job];
    if (task.step >= job.spec.steps.size()) {
        fail("UNASKED", task, "nobody submitted it");
        return;
    }
    if (!(heldBefore + job.spec.steps[task.step].amount).fitsIn(capacity))
        fail("LIMIT", task, "on " + worker);
    auto &runs = m_running[task];
    // Copies may run beside each other where the step allows them.
    if (!runs.empty() && !copiesAllowed(job, task))
        fail("TWICE", task,
             worker + " run " + std::to_string(run) + " beside " + runs.begin()->first);
    runs.emplace(worker, run);
    checkStart(job, task);
}

void Promises::checkStart(JobView &job, const TaskId &task)
{
    if (job.refused)
        fail("REFUSED", task, "its job was refused");
    for (const auto before : job.spec.steps[task.step].after) {
        if (!stepDone(job, before))
            fail("ORDER", task, "before step " + std::to_string(before));
    }
    // An order that the worker carried out late was sent before.
    const auto ordered = m_orderedAt.value_or(m_timers.now());
    if (job.cancelledAt != TimePoint() && ordered - job.cancelledAt > cancelTime)
        fail("UNASKED", task, "after its job was cancelled");
    // Where copies are allowed, an order that was carried out late counts from when it was sent.
    const bool copies = copiesAllowed(job, task);
    job.lastStart[attemptKey(job, task)] = copies ? ordered : m_timers.now();
    job.lastStartOf = task;
    checkEnds(job, task);
}

void Promises::checkEnds(JobView &job, const TaskId &task)
{
    const auto key = attemptKey(job, task);
    // A copy may be ordered just before the end of the other one is known.
    const bool copies = copiesAllowed(job, task);
    const auto started = job.lastStart[key] - (copies ? Duration(copyTime) : Duration::zero());
    const auto &ends = job.acknowledged[key];
    if (ends.done != TimePoint() && started > ends.done)
        fail("TWICE", task, "started after an end that was acknowledged");
    if (ends.failedRuns.size() >= job.maxAttempts && started > ends.lastFailure)
        fail("BUDGET", task, "started after all attempts have failed");
}

void Promises::ended(const std::string &worker, const FinishedTask &end)
{
    m_running[end.task].erase({ worker, end.run });
    m_endTimes[{ end.task, end.run }] = m_timers.now();
    auto &job = m_jobs[end.task.job];
    if (end.kind == EndKind::Done)
        job.finished[end.task.step].insert(end.task.index);
    if (end.kind == EndKind::Failed)
        job.failedRuns[attemptKey(job, end.task)].insert(end.run);
}

void Promises::acknowledged(const std::string & /*worker*/, const FinishedTask &end)
{
    auto &job = m_jobs[end.task.job];
    // Where copies are allowed, an end counts from when the system took note of it.
    const bool copies = copiesAllowed(job, end.task);
    const auto time = copies ? m_timers.now() : m_endTimes[{ end.task, end.run }];
    auto &ends = job.acknowledged[attemptKey(job, end.task)];
    if (end.kind == EndKind::Done)
        ends.done = time;
    if (end.kind == EndKind::Failed && ends.failedRuns.insert(end.run).second)
        ends.lastFailure = std::max(ends.lastFailure, time);
    if (end.kind == EndKind::Done || end.kind == EndKind::Failed)
        checkEnds(job, end.task);
}

std::size_t Promises::unfinishedJobs() const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &entry) {
            return entry.second.accepted && !entry.second.ended;
        }));
}

} // namespace cowsliprock::standincell
