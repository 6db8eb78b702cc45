#pragma once

#include "job.h"
#include "jobqueue.h"
#include "jobrows.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cowsliprock::scheduling {

/// Refers to one task of a job.
struct TaskReference
{
    Job *job = nullptr;
    std::uint32_t index = 0;

    [[nodiscard]] Task &task() const { return job->tasks[index]; }
};

/// Shared state of the home side: the jobs of owned partitions, their timers, the quota usage and
/// the pending journal entries.
class HomeState
{
public:
    using JobTimer = std::pair<TimePoint, JobId>;

    explicit HomeState(Context &sharedContext)
        : context(sharedContext)
        , usage(sharedContext)
        , queue(usage)
        , waiting(usage)
        , rows(sharedContext)
    { }

    /// Adds a job with all tasks in \p phase.
    Job &addJob(const AcceptedJob &accepted, const PartitionId &partition, TaskPhase phase);
    [[nodiscard]] Job *job(const JobId &id);
    [[nodiscard]] const std::map<JobId, Job> &jobs() const noexcept { return m_jobs; }

    /// Returns the task whose current attempt is \p attempt.
    [[nodiscard]] std::optional<TaskReference> find(const AttemptId &attempt);
    [[nodiscard]] AttemptId newAttempt(Job &job, std::uint32_t index);
    void dropPartition(const PartitionId &partition);

    void setPhase(TaskReference reference, TaskPhase phase);
    void setDue(TaskReference reference, TimePoint due);

    /// Queues the job if it has queued tasks and is eligible for scheduling; dequeues it otherwise.
    void updateQueue(Job &job);

    /// Delays a job that found no capacity, with exponential back-off.
    void backOff(Job &job);

    /// Keeps a job out of the queue for the given time.
    void delay(Job &job, Duration time);

    /// Requeues the first \p count jobs that wait for capacity.
    void requeueWaiting(std::size_t count);
    void dequeue(Job &job);

    void countUsage(TaskReference reference);
    void releaseUsage(TaskReference reference);

    /// Journals the intent of the current attempt. The result is returned by takeIntent().
    void journalIntent(TaskReference reference);

    /// Journals the end of the current attempt. If the entry is lost, the next home queries the
    /// owner.
    void journalEnd(TaskReference reference, TaskState state);
    void journalEnd(const Job &job, const message::TaskEnded &ended);

    /// Returns the attempt whose intent this result belongs to.
    [[nodiscard]] std::optional<AttemptId> takeIntent(const event::JournalResult &result);

    /// Records the outcome if all tasks are in a final phase.
    void endIfComplete(Job &job);

    [[nodiscard]] std::vector<TaskReference> takeDueTasks();
    void takeDueJobs();
    void evictEndedJobs();

    Context &context;
    TeamUsage usage;
    JobQueue queue;
    JobQueue waiting; ///< Jobs for which no capacity was found.
    JobRows rows;
    std::set<PartitionId> loaded; ///< Partitions whose job rows have been loaded.

    /// Messages about jobs whose rows have not been loaded yet.
    std::vector<std::pair<DaemonName, Message>> earlyMessages;

private:
    using TaskTimer = std::tuple<TimePoint, JobId, std::uint32_t>;

    void finish(Job &job);
    void deferUntil(Job &job, TimePoint time);
    void append(std::uint64_t ticket, JournalEntry entry);

    std::map<JobId, Job> m_jobs;
    std::set<TaskTimer> m_taskTimers;
    std::set<JobTimer> m_jobTimers;
    std::deque<JobTimer> m_ended;
    std::map<std::uint64_t, AttemptId> m_intents;
    std::uint64_t m_nextTicket = 0;
    std::uint64_t m_nextArrival = 0;
};

} // namespace cowsliprock::scheduling
