#pragma once

#include "records.h"

#include <cell/model.h>

#include <base/time.h>

#include <cstddef>
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
    std::uint32_t liveRuns = 0;  ///< Runs that may still be active on a worker, without stray ones.
    std::uint32_t strayRuns = 0; ///< Other runs of it that a worker lists.
    std::string checkpoint;
    std::vector<std::string> avoidedWorkers; ///< Workers on which a run failed or fell behind.
    bool copyRequested = false;              ///< A speculative second run is to be started.
    /// Already handled as a straggler. If it falls behind again, the task itself is slow.
    bool rescheduled = false;
    std::string worker;      ///< Worker of the newest run.
    Duration projected{};    ///< Projected total time of the newest run.
    double workerSpeed = 1;  ///< Known speed of that worker.
    bool timed = false;      ///< It is the measured time of a whole run, not compared so far.
    TimePoint notBefore{};   ///< Earliest time of the next start.
    bool reconciled = false; ///< All runs that earlier owners may have started are known.

    /// Adds the worker to those that are chosen last.
    void avoid(const std::string &id);
};

/// Permission from the policy service of the queue to run a step on a worker.
struct StepTicket
{
    std::string value; ///< Empty: the worker is allowed, but its ticket has to be renewed.
    TimePoint expires{};
    std::int64_t born = 0; ///< Start time that identifies the incarnation of the worker.

    /// True if an order sent now reaches the worker before the ticket expires.
    [[nodiscard]] bool usableAt(TimePoint now) const noexcept;
};

struct StepAdvice
{
    std::unordered_map<std::string, StepTicket> allowed;
    std::unordered_map<std::string, std::int64_t> denied; ///< Incarnation by worker.
    bool requestPending = false;
    /// Allowed workers named in the pending request; capacity is set aside on them.
    std::vector<std::string> renewingWorkers;
    TimePoint nextRequestAt{};

    /// True while a request is pending and no worker is known to be allowed.
    [[nodiscard]] bool awaitsFirstAnswer() const noexcept
    {
        return requestPending && allowed.empty();
    }
};

struct Step
{
    std::vector<Task> tasks;
    std::vector<TaskFailures> failures;
    std::vector<TaskCrashes> crashes;
    std::uint32_t waitingCount = 0;    ///< Number of tasks in the phase Waiting.
    std::uint32_t doneCount = 0;       ///< Number of tasks in the phase Done.
    std::uint32_t copiesRequested = 0; ///< Number of tasks that need a speculative copy.
    std::uint32_t unsavedEnds = 0;     ///< Ends that must be durable before the step counts.
    bool ready = false;                ///< All steps that it depends on are done.
    StepAdvice advice;
    TimePoint nextPlanAt{}; ///< A waiting gang is not planned before this time.
    /// Since when the room kept for a waiting gang has sufficed for it.
    std::optional<TimePoint> roomReadySince;

    [[nodiscard]] bool done() const noexcept { return doneCount == tasks.size(); }
    TaskFailures &failuresOf(std::uint32_t index);
    TaskCrashes &crashesOf(std::uint32_t index);
    /// Sets the phase of a task of this step and updates the counts.
    void move(Task &task, TaskPhase phase) noexcept;
    void setCopyRequested(Task &task, bool requested) noexcept;
};

struct Occurrence
{
    std::uint32_t number = 0;
    std::vector<Step> steps;
    TimePoint startedAt{};

    [[nodiscard]] bool done() const noexcept;
};

/// A job with the state of its tasks.
struct Job
{
    JobRecord record;
    std::uint64_t created = 0; ///< Store revision at acceptance; orders jobs by arrival.
    JobStatus status = JobStatus::Queued;
    JobStatus durableStatus = JobStatus::Queued; ///< Status reported to callers.
    std::map<std::uint32_t, Occurrence> occurrences;
    /// Runs started by an earlier owner may still be active on workers that have not reported.
    bool mayHaveRunsOfEarlierOwner = false;
    bool startRecordPending = false; ///< The record of its start is being stored.
    bool startRecorded = false;      ///< The record of its start is durable; tasks may be started.
    bool everStarted = false;
    std::size_t customer = 0; ///< Index of its customer.
    bool excess = false;      ///< Accepted above the guaranteed rate of its customer.
    TimePoint firstSeenAt{};
    TimePoint endDurableAt{}; ///< Start of the retention of its status.
    /// Estimated critical path up to and including each step.
    std::vector<Duration> criticalPathThrough;
    Duration criticalPath{};           ///< Estimated critical path of the whole job.
    std::optional<std::string> defect; ///< Why the job cannot be run; it has no occurrences then.

    [[nodiscard]] bool active() const noexcept
    {
        return status == JobStatus::Queued || status == JobStatus::Running;
    }
    [[nodiscard]] bool endIsDurable() const noexcept
    {
        return !active() && durableStatus == status;
    }
    [[nodiscard]] const StepSpec &spec(std::uint32_t step) const
    {
        return record.spec.steps.at(step);
    }
    [[nodiscard]] std::uint32_t occurrenceCount() const noexcept
    {
        return record.spec.repeatCount == 0 ? 1 : record.spec.repeatCount;
    }
    /// Time by which the job should end to be of full value to its caller.
    [[nodiscard]] TimePoint objective(const Occurrence &occurrence) const;
    /// Time after which the result has no value to the caller.
    [[nodiscard]] TimePoint latestUsefulEnd(const Occurrence &occurrence) const;
};

/// Builds a job from its record and the progress stored by an earlier owner.
[[nodiscard]] Job makeJob(const JobRecord &record, std::uint64_t created, TimePoint now,
                          const std::optional<JobProgress> &progress);

/// Time that the job may wait in total if it is to meet its objective; nothing if it has none: a
/// job that is started later, repeatedly, or runs until it is cancelled.
[[nodiscard]] std::optional<Duration> queueingAllowance(const JobRecord &record);

/// Adds an occurrence with all its tasks waiting.
Occurrence &beginOccurrence(Job &job, std::uint32_t number, TimePoint now);

/// Recomputes which steps are ready once a step is done.
void updateReadiness(const Job &job, Occurrence &occurrence);

/// The progress to be stored.
[[nodiscard]] JobProgress progressOf(const Job &job);

/// True if the task is likely to crash each worker that starts it. A worker that crashes before it
/// lists a run was most likely crashed by it; of one that crashes later, other runs and the loss of
/// the machine are as likely to be the cause.
[[nodiscard]] bool crashesItsWorkers(const TaskCrashes &crashes) noexcept;

/// Jobs of a shard, by id.
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
