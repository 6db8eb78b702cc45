#include <standincell/guaranteechecker.h>

#include <algorithm>

namespace cowsliprock::standincell {

using namespace cell;

namespace {

/// Time after an acknowledged cancellation in which tasks of the job may still be started.
constexpr std::chrono::milliseconds cancelStartGrace{ 3000 };
/// Time after an acknowledged end of a task in which a copy of it may still be started.
constexpr std::chrono::seconds copyStartGrace{ 1 };
/// A task may be given up once this many workers have crashed under it.
constexpr std::size_t crashesBeforeGivingUp = 2;
/// Workers that may crash under a task before its further starts are limited.
constexpr std::size_t crashesBeforeLimit = 3;
/// Number of further starts that breaks the limit.
constexpr std::uint32_t startsBeyondLimit = 3;
/// Time after the shrinking of a worker from which its lower capacity limits new tasks: the contact
/// time of 4 s and one heartbeat of the worker.
constexpr std::chrono::milliseconds shrunkCapacityDelay{ 5500 };

} // namespace

GuaranteeChecker::GuaranteeChecker(Timers &timers, const QuotaChecker *quotas)
    : m_timers(timers)
    , m_quotas(quotas)
{ }

void GuaranteeChecker::submitted(const std::string &job, const JobSpec &spec,
                                 std::uint32_t maxAttempts)
{
    auto &view = m_jobs[job];
    view.spec = spec;
    view.maxAttempts = maxAttempts;
    // The guarantee covers jobs of which every submission was refused; this one is still pending.
    view.refused = false;
}

void GuaranteeChecker::accepted(const std::string &job)
{
    m_jobs[job].accepted = true;
}

void GuaranteeChecker::refused(const std::string &job)
{
    auto &view = m_jobs[job];
    if (view.accepted)
        return;
    view.refused = true;
    if (!view.lastStart.empty())
        addViolation("REFUSED", view.lastStartedTask, "its job was refused after a start");
}

void GuaranteeChecker::cancelRequested(const std::string &job)
{
    m_jobs[job].cancelRequested = true;
}

void GuaranteeChecker::cancelled(const std::string &job)
{
    m_jobs[job].cancelledAt = m_timers.now();
    m_jobs[job].ended = true;
}

void GuaranteeChecker::statusReported(const std::string &id, JobStatus status)
{
    auto &job = m_jobs[id];
    if (status == JobStatus::Completed) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            if (!stepDone(job, step))
                m_violations.push_back("COMPLETED too early: " + id);
        }
        job.ended = true;
    } else if (status == JobStatus::Failed) {
        const bool attemptsExhausted =
            std::any_of(job.failedRuns.begin(), job.failedRuns.end(), [&job](const auto &entry) {
                return entry.second.size() >= job.maxAttempts;
            });
        const bool crashedWorkers =
            std::any_of(job.lostRuns.begin(), job.lostRuns.end(), [](const auto &entry) {
                return entry.second.size() >= crashesBeforeGivingUp;
            });
        if (!attemptsExhausted && !crashedWorkers)
            m_violations.push_back("FAILED without cause: " + id);
        job.ended = true;
    } else if (status == JobStatus::Cancelled) {
        // A cancellation without a reply may have taken effect.
        if (!job.cancelRequested)
            m_violations.push_back("CANCELLED without cause: " + id);
        job.ended = true;
    }
}

void GuaranteeChecker::reportedUnknown(const std::string &id)
{
    if (const auto &job = m_jobs[id]; job.accepted && !job.cancelRequested)
        m_violations.push_back("LOST " + id);
}

void GuaranteeChecker::capacityChanged(const std::string &worker, const Resources &former)
{
    m_formerCapacities[worker].push_back({ former, m_timers.now() });
}

bool GuaranteeChecker::fits(const std::string &worker, const Resources &held,
                            const Resources &capacity) const
{
    auto limit = capacity;
    const auto ordered = m_orderTime.value_or(m_timers.now());
    if (const auto formers = m_formerCapacities.find(worker); formers != m_formerCapacities.end()) {
        for (const auto &[former, until] : formers->second) {
            if (ordered - until > shrunkCapacityDelay)
                continue;
            limit = { std::max(limit.cpuMillis, former.cpuMillis),
                      std::max(limit.memoryMb, former.memoryMb),
                      std::max(limit.accelerators, former.accelerators) };
        }
    }
    return held.fitsIn(limit);
}

void GuaranteeChecker::crashed(const std::string &worker)
{
    for (auto &[task, runs] : m_running) {
        auto &lostRuns = m_jobs[task.job].lostRuns[task.text()];
        std::erase_if(runs, [&worker, &lostRuns](const auto &run) {
            const bool lost = run.first == worker;
            if (lost)
                lostRuns.insert(run.second);
            return lost;
        });
    }
}

bool GuaranteeChecker::stepDone(const JobRecord &job, std::uint32_t step)
{
    const auto finished = job.finished.find(step);
    const auto &spec = job.spec.steps.at(step);
    if (finished == job.finished.end())
        return false;
    return spec.gang ? !finished->second.empty() : finished->second.size() == spec.count;
}

bool GuaranteeChecker::copiesAllowed(const JobRecord &job, const TaskId &task)
{
    return task.step < job.spec.steps.size() && job.spec.steps[task.step].speculative;
}

bool GuaranteeChecker::lasts(const JobRecord &job, const TaskId &task)
{
    return task.step < job.spec.steps.size() && job.spec.steps[task.step].longRunning;
}

std::string GuaranteeChecker::attemptKey(const JobRecord &job, const TaskId &task)
{
    // The members of a gang fail together.
    const bool gang = task.step < job.spec.steps.size() && job.spec.steps[task.step].gang;
    return gang ? task.stepText() : task.text();
}

void GuaranteeChecker::addViolation(const char *guarantee, const TaskId &task,
                                    const std::string &detail)
{
    m_violations.push_back(std::string(guarantee) + " " + task.text() + " at "
                           + std::to_string(m_timers.now().time_since_epoch().count() / 1000)
                           + " ms: " + detail);
}

void GuaranteeChecker::started(const std::string &worker, const TaskId &task, std::uint32_t run,
                               const Resources &heldBefore, const Resources &capacity)
{
    ++m_starts;
    ++m_startsByWorker[worker];
    auto &job = m_jobs[task.job];
    if (task.step >= job.spec.steps.size()) {
        addViolation("UNASKED", task, "the step was not submitted");
        return;
    }
    if (!fits(worker, heldBefore + job.spec.steps[task.step].amount, capacity))
        addViolation("LIMIT", task, "on " + worker);
    auto &runs = m_running[task];
    // Copies may run concurrently where the step allows them.
    if (!runs.empty() && !copiesAllowed(job, task))
        addViolation("TWICE", task,
                     worker + " run " + std::to_string(run) + " beside " + runs.begin()->first);
    runs.emplace(worker, run);
    if (job.spec.steps[task.step].gang)
        checkGangRuns(task, run);
    checkQuota(job, task);
    checkCrashes(job, task);
    checkStart(job, task);
}

void GuaranteeChecker::checkQuota(const JobRecord &job, const TaskId &task)
{
    if (m_quotas == nullptr || job.customer.empty())
        return;
    Resources inUse;
    for (const auto &[other, runs] : m_running) {
        const auto record = m_jobs.find(other.job);
        if (record == m_jobs.end() || record->second.customer != job.customer)
            continue;
        inUse += heldBy(record->second.spec.steps.at(other.step))
            * static_cast<std::int64_t>(runs.size());
    }
    if (!m_quotas->allows(job.customer, inUse, m_orderTime.value_or(m_timers.now())))
        addViolation("QUOTA", task,
                     job.customer + " uses " + std::to_string(inUse.cpuMillis) + " mCPU");
}

void GuaranteeChecker::checkGangRuns(const TaskId &member, std::uint32_t run)
{
    const TaskId first{ member.job, member.occurrence, member.step, 0 };
    for (auto entry = m_running.lower_bound(first); entry != m_running.end(); ++entry) {
        const auto &[task, runs] = *entry;
        if (task.stepText() != member.stepText())
            break;
        for (const auto &[worker, other] : runs) {
            if (other != run)
                addViolation("TWICE", member,
                             "gang run " + std::to_string(run) + " beside run "
                                 + std::to_string(other) + " of " + task.text() + " on " + worker);
        }
    }
}

void GuaranteeChecker::checkCrashes(JobRecord &job, const TaskId &task)
{
    const auto key = task.text();
    if (!job.deadly || job.lostRuns[key].size() < crashesBeforeLimit)
        return;
    if (++job.startsAfterCrashes[key] >= startsBeyondLimit)
        addViolation("BUDGET", task, "started again though it crashes its workers");
}

void GuaranteeChecker::checkStart(JobRecord &job, const TaskId &task)
{
    if (job.refused)
        addViolation("REFUSED", task, "its job was refused");
    for (const auto before : job.spec.steps[task.step].after) {
        if (!stepDone(job, before))
            addViolation("ORDER", task, "before step " + std::to_string(before));
    }
    // An order that the worker executed late was sent earlier.
    const auto ordered = m_orderTime.value_or(m_timers.now());
    if (job.cancelledAt != TimePoint() && ordered - job.cancelledAt > cancelStartGrace)
        addViolation("UNASKED", task, "after its job was cancelled");
    // Where copies are allowed, an order that was executed late counts from the time it was sent.
    const bool copies = copiesAllowed(job, task);
    job.lastStart[attemptKey(job, task)] = copies ? ordered : m_timers.now();
    job.lastStartedTask = task;
    checkEnds(job, task);
}

void GuaranteeChecker::checkEnds(JobRecord &job, const TaskId &task)
{
    // Tasks that last are restarted however they end.
    if (lasts(job, task))
        return;
    const auto key = attemptKey(job, task);
    // A copy may be ordered just before the end of the other one becomes known.
    const bool copies = copiesAllowed(job, task);
    const auto started =
        job.lastStart[key] - (copies ? Duration(copyStartGrace) : Duration::zero());
    const auto &ends = job.acknowledged[key];
    if (ends.done != TimePoint() && started > ends.done)
        addViolation("TWICE", task, "started after an end that was acknowledged");
    if (ends.failedRuns.size() >= job.maxAttempts && started > ends.lastFailure)
        addViolation("BUDGET", task, "started after all attempts have failed");
}

void GuaranteeChecker::ended(const std::string &worker, const FinishedTask &end)
{
    m_running[end.task].erase({ worker, end.run });
    m_endTimes[{ end.task, end.run }] = m_timers.now();
    auto &job = m_jobs[end.task.job];
    if (end.kind == EndKind::Done)
        job.finished[end.task.step].insert(end.task.index);
    if (end.kind == EndKind::Failed)
        job.failedRuns[attemptKey(job, end.task)].insert(end.run);
}

void GuaranteeChecker::acknowledged(const std::string & /*worker*/, const FinishedTask &end)
{
    auto &job = m_jobs[end.task.job];
    // Where copies are allowed, an end counts from the time the system recorded it.
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

std::size_t GuaranteeChecker::unfinishedJobs() const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &entry) {
            return entry.second.accepted && !entry.second.ended;
        }));
}

} // namespace cowsliprock::standincell
