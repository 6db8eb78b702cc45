#include "jobtable.h"

#include <cell/jobdefect.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// The result of a job has no value to its caller after this multiple of its objective.
constexpr int usefulObjectiveMultiple = 3;
/// Upper bound on the time in transit of an order.
constexpr std::chrono::milliseconds orderTransitAllowance{ 250 };

/// Crashes of workers that had just started a task, after which it is given up.
constexpr std::uint32_t maxCrashesAtStart = 2;
/// Losses of workers at any time of a task, after which it is given up.
constexpr std::uint32_t maxCrashes = 5;

/// Estimated critical path up to and including each step.
std::vector<Duration> criticalPathsOf(const JobRecord &record)
{
    const auto &steps = record.spec.steps;
    std::vector<Duration> through(steps.size(), Duration::zero());
    for (std::size_t index = 0; index < steps.size(); ++index) {
        Duration longest{};
        for (const auto before : steps[index].after)
            longest = std::max(longest, through.at(before));
        through[index] = longest + steps[index].estimate;
        if (record.queue.advice)
            through[index] += record.queue.advice->decision;
    }
    return through;
}

Duration longestOf(const std::vector<Duration> &paths)
{
    return paths.empty() ? Duration::zero() : *std::max_element(paths.begin(), paths.end());
}

void restore(Step &step, const StepProgress &progress, bool longRunning)
{
    // A long-running task is never done, whatever an earlier version has recorded.
    const auto count = longRunning ? 0 : std::min(step.tasks.size(), progress.done.size());
    for (std::size_t index = 0; index < count; ++index) {
        if (progress.done[index]) {
            step.move(step.tasks[index], TaskPhase::Done);
        }
    }
    step.failures = progress.failures;
    step.crashes = progress.crashes;
    for (const auto &failure : progress.failures) {
        if (failure.index >= step.tasks.size())
            continue;
        for (const auto run : failure.runs) {
            auto &lastRun = step.tasks[failure.index].lastRun;
            lastRun = std::max(lastRun, run);
        }
    }
}

/// Returns the entry of a task, which is added if there is none.
template <typename Entry>
Entry &entryOf(std::vector<Entry> &entries, std::uint32_t index)
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [index](const Entry &entry) { return entry.index == index; });
    if (found != entries.end())
        return *found;
    Entry added;
    added.index = index;
    return entries.emplace_back(std::move(added));
}

} // namespace

void Task::avoid(const std::string &id)
{
    if (std::find(avoidedWorkers.begin(), avoidedWorkers.end(), id) == avoidedWorkers.end())
        avoidedWorkers.push_back(id);
}

TaskFailures &Step::failuresOf(std::uint32_t index)
{
    return entryOf(failures, index);
}

TaskCrashes &Step::crashesOf(std::uint32_t index)
{
    return entryOf(crashes, index);
}

bool StepTicket::usableAt(TimePoint now) const noexcept
{
    return !value.empty() && expires >= now + orderTransitAllowance;
}

void Step::move(Task &task, TaskPhase phase) noexcept
{
    const auto count = [this](TaskPhase of) {
        return of == TaskPhase::Waiting ? &waitingCount
            : of == TaskPhase::Done     ? &doneCount
                                        : nullptr;
    };
    if (auto *before = count(task.phase))
        --*before;
    if (auto *after = count(phase))
        ++*after;
    task.phase = phase;
    // Only placed tasks need a copy.
    if (phase != TaskPhase::Placed)
        setCopyRequested(task, false);
}

void Step::setCopyRequested(Task &task, bool requested) noexcept
{
    if (std::exchange(task.copyRequested, requested) == requested)
        return;
    if (requested)
        ++copiesRequested;
    else
        --copiesRequested;
}

bool Occurrence::done() const noexcept
{
    return std::all_of(steps.begin(), steps.end(), [](const Step &step) { return step.done(); });
}

TimePoint Job::objective(const Occurrence &occurrence) const
{
    const auto work = std::chrono::duration_cast<Duration>(record.queue.extension * criticalPath);
    return occurrence.startedAt + work + record.queue.targetRuntime;
}

TimePoint Job::latestUsefulEnd(const Occurrence &occurrence) const
{
    return occurrence.startedAt
        + (objective(occurrence) - occurrence.startedAt) * usefulObjectiveMultiple;
}

Occurrence &beginOccurrence(Job &job, std::uint32_t number, TimePoint now)
{
    auto &occurrence = job.occurrences[number];
    occurrence.number = number;
    occurrence.startedAt = now;
    occurrence.steps.resize(job.record.spec.steps.size());
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        const auto &spec = job.record.spec.steps[index];
        auto &step = occurrence.steps[index];
        step.tasks.resize(spec.count);
        step.waitingCount = spec.count;
    }
    updateReadiness(job, occurrence);
    return occurrence;
}

void updateReadiness(const Job &job, Occurrence &occurrence)
{
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        const auto &after = job.record.spec.steps[index].after;
        occurrence.steps[index].ready =
            std::all_of(after.begin(), after.end(), [&occurrence](std::uint32_t before) {
                const Step &step = occurrence.steps.at(before);
                return step.done() && step.unsavedEnds == 0;
            });
    }
}

namespace {

void restoreOccurrences(Job &job, const JobProgress &progress, TimePoint now)
{
    const auto &steps = job.record.spec.steps;
    for (const auto &stored : progress.occurrences) {
        if (stored.steps.size() != steps.size())
            continue;
        auto &occurrence = beginOccurrence(job, stored.number, now);
        for (std::size_t index = 0; index < stored.steps.size(); ++index)
            restore(occurrence.steps[index], stored.steps[index], steps[index].longRunning);
        updateReadiness(job, occurrence);
    }
}

} // namespace

Job makeJob(const JobRecord &record, std::uint64_t created, TimePoint now,
            const std::optional<JobProgress> &progress)
{
    Job job;
    job.record = record;
    job.created = created;
    job.firstSeenAt = now;
    job.defect = findDefect(record.spec);
    if (!job.defect) {
        job.criticalPathThrough = criticalPathsOf(record);
        job.criticalPath = longestOf(job.criticalPathThrough);
    }
    if (progress) {
        job.startRecorded = true;
        job.status = progress->status;
        if (!job.defect)
            restoreOccurrences(job, *progress, now);
    }
    if (record.cancelled && job.active())
        job.status = JobStatus::Cancelled;
    job.durableStatus = job.status;
    // Its failure is durable only once the owner has recorded it.
    if (job.defect && job.active())
        job.status = JobStatus::Failed;
    if (!job.active())
        job.endDurableAt = now;
    return job;
}

std::optional<Duration> queueingAllowance(const JobRecord &record)
{
    const auto &steps = record.spec.steps;
    const bool endless = std::any_of(steps.begin(), steps.end(),
                                     [](const StepSpec &step) { return step.longRunning; });
    if (endless || record.spec.repeatCount != 0 || findDefect(record.spec))
        return std::nullopt;
    const auto work = longestOf(criticalPathsOf(record));
    return record.queue.targetRuntime
        + std::chrono::duration_cast<Duration>((record.queue.extension - 1) * work);
}

JobProgress progressOf(const Job &job)
{
    JobProgress progress;
    progress.status = job.status;
    if (!job.active())
        return progress;
    for (const auto &[number, occurrence] : job.occurrences) {
        OccurrenceProgress stored;
        stored.number = number;
        for (const auto &step : occurrence.steps) {
            StepProgress stepProgress;
            for (const auto &task : step.tasks)
                stepProgress.done.push_back(task.phase == TaskPhase::Done);
            stepProgress.failures = step.failures;
            stepProgress.crashes = step.crashes;
            stored.steps.push_back(std::move(stepProgress));
        }
        progress.occurrences.push_back(std::move(stored));
    }
    return progress;
}

bool crashesItsWorkers(const TaskCrashes &crashes) noexcept
{
    return crashes.atStart >= maxCrashesAtStart || crashes.all >= maxCrashes;
}

Job *JobTable::find(const std::string &id)
{
    const auto entry = m_jobs.find(id);
    return entry == m_jobs.end() ? nullptr : entry->second.get();
}

const Job *JobTable::find(const std::string &id) const
{
    const auto entry = m_jobs.find(id);
    return entry == m_jobs.end() ? nullptr : entry->second.get();
}

Step *JobTable::findStep(const TaskId &id)
{
    Job *job = find(id.job);
    if (job == nullptr)
        return nullptr;
    const auto occurrence = job->occurrences.find(id.occurrence);
    if (occurrence == job->occurrences.end() || id.step >= occurrence->second.steps.size())
        return nullptr;
    return &occurrence->second.steps[id.step];
}

Task *JobTable::findTask(const TaskId &id)
{
    Step *step = findStep(id);
    return step == nullptr || id.index >= step->tasks.size() ? nullptr : &step->tasks[id.index];
}

Job &JobTable::insert(Job job)
{
    auto &slot = m_jobs[job.record.id];
    slot = std::make_unique<Job>(std::move(job));
    return *slot;
}

} // namespace cowsliprock::cell
