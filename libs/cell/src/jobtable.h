#pragma once

#include "records.h"

#include <cell/model.h>

#include <base/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

enum class TaskPhase { Waiting, Placed, Done };

struct Task
{
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t lastRun = 0;
    std::uint32_t liveRuns = 0; ///< Runs that may be at work on a worker.
    std::string checkpoint;
    std::vector<std::string> avoid; ///< Workers on which a run has failed or fallen behind.
    bool copyWanted = false;        ///< A second run is to be started beside the first.
    bool moved = false;             ///< It has fallen behind once; the next time it is the task.
    std::string worker;             ///< Of its newest run ...
    Duration projected{};           ///< ... and the whole time of that, as far as is known.
    TimePoint notBefore{};          ///< Earliest next start.
    bool accountedFor = false;      ///< What earlier owners may have started of it is known here.
};

/// What a worker may be used for in one step, from the queue's policy service.
struct StepTicket
{
    std::string value; ///< Empty: the worker is allowed but its ticket has to be asked for.
    TimePoint expires{};
    std::int64_t born = 0; ///< Life of the worker that the ticket is for.

    /// True if an order with the ticket reaches the worker before the ticket expires.
    [[nodiscard]] bool usableAt(TimePoint now) const noexcept;
};

struct StepAdvice
{
    std::unordered_map<std::string, StepTicket> allowed;
    std::unordered_map<std::string, std::int64_t> denied; ///< Worker to its life.
    bool asking = false;
    std::vector<std::string> asked; ///< The workers of the question that is open.
    TimePoint nextAsk{};

    /// True while no worker is known to be allowed, and a question is open.
    [[nodiscard]] bool awaitsFirstAnswer() const noexcept { return asking && allowed.empty(); }
};

struct Step
{
    std::vector<Task> tasks;
    std::vector<TaskFailures> failures;
    std::uint32_t waitingCount = 0; ///< Tasks in the phase Waiting.
    std::uint32_t doneCount = 0;    ///< Tasks in the phase Done.
    std::uint32_t copiesWanted = 0; ///< Tasks of which a copy is to be started.
    bool ready = false;             ///< All steps before it are done.
    StepAdvice advice;

    [[nodiscard]] bool done() const noexcept { return doneCount == tasks.size(); }
    TaskFailures &failuresOf(std::uint32_t index);
    /// Changes the phase of one of the step's tasks, and the counts.
    void move(Task &task, TaskPhase phase) noexcept;
    void wantCopy(Task &task, bool wanted) noexcept;
};

struct Occurrence
{
    std::uint32_t number = 0;
    std::vector<Step> steps;
    TimePoint begun{};

    [[nodiscard]] bool done() const noexcept;
};

/// A job and what is known of its tasks.
struct Job
{
    JobRecord record;
    std::uint64_t created = 0; ///< Store revision of its acceptance; orders jobs by arrival.
    JobStatus status = JobStatus::Queued;
    JobStatus durableStatus = JobStatus::Queued; ///< What callers may be told.
    std::map<std::uint32_t, Occurrence> occurrences;
    bool mayRunElsewhere = false; ///< An owner before this one may have started its tasks.
    bool noting = false;          ///< The note that it begins is being stored ...
    bool noted = false;           ///< ... or is durable, so that its tasks may be started.
    bool everStarted = false;
    TimePoint seen{};
    TimePoint endedAt{};
    std::vector<Duration> chainBefore; ///< Estimated longest chain up to and including a step.
    Duration chain{};                  ///< Estimated longest chain of the whole job.

    [[nodiscard]] bool active() const noexcept
    {
        return status == JobStatus::Queued || status == JobStatus::Running;
    }
    [[nodiscard]] const StepSpec &spec(std::uint32_t step) const
    {
        return record.spec.steps.at(step);
    }
    [[nodiscard]] std::uint32_t occurrenceCount() const noexcept
    {
        return record.spec.repeatCount == 0 ? 1 : record.spec.repeatCount;
    }
    /// End of the time in which the job is worth most to its caller.
    [[nodiscard]] TimePoint objective(const Occurrence &occurrence) const;
    /// End of the time in which it is worth anything.
    [[nodiscard]] TimePoint lastUseful(const Occurrence &occurrence) const;
};

/// Builds a job from its record and from what an earlier owner noted.
[[nodiscard]] Job makeJob(const JobRecord &record, std::uint64_t created, TimePoint now,
                          const std::optional<JobProgress> &progress);

/// Adds an occurrence with all its tasks waiting.
Occurrence &beginOccurrence(Job &job, std::uint32_t number, TimePoint now);

/// Recomputes which steps are ready after a step has ended.
void updateReadiness(const Job &job, Occurrence &occurrence);

/// What has to be durable.
[[nodiscard]] JobProgress progressOf(const Job &job);

/// True if the job cannot be run as described: no steps, or steps that wait for later ones.
[[nodiscard]] bool malformed(const JobSpec &spec) noexcept;

/// All jobs of a shard.
class JobTable
{
public:
    using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;

    Job *find(const std::string &id);
    [[nodiscard]] const Job *find(const std::string &id) const;
    Task *findTask(const TaskId &id);
    Step *findStep(const TaskId &id);
    Job &insert(Job job);
    void erase(const std::string &id) { m_jobs.erase(id); }

    [[nodiscard]] const Jobs &all() const noexcept { return m_jobs; }

private:
    Jobs m_jobs;
};

} // namespace cowsliprock::cell
