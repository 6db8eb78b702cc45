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

/// A job and one of its tasks.
struct TaskReference
{
    Job *job = nullptr;
    std::uint32_t index = 0;

    [[nodiscard]] Task &task() const { return job->tasks[index]; }
};

/// State of the home side that its parts share: the jobs of owned partitions, their timers, the
/// use of quotas, and the journal entries under way.
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

    /// Adds a job whose tasks are all in \p phase.
    Job &addJob(const AcceptedJob &accepted, const PartitionId &partition, TaskPhase phase);
    [[nodiscard]] Job *job(const JobId &id);
    [[nodiscard]] const std::map<JobId, Job> &jobs() const noexcept { return m_jobs; }

    /// The task whose present attempt this is.
    [[nodiscard]] std::optional<TaskReference> find(const AttemptId &attempt);
    [[nodiscard]] AttemptId newAttempt(Job &job, std::uint32_t index);
    void dropPartition(const PartitionId &partition);

    void setPhase(TaskReference reference, TaskPhase phase);
    void setDue(TaskReference reference, TimePoint due);

    /// Puts the job into the queue if it has queued tasks and may be tried now.
    void updateQueue(Job &job);

    /// Keeps a job that found no capacity out of the queue, longer each time in a row.
    void backOff(Job &job);

    /// Keeps a job out of the queue.
    void delay(Job &job, Duration time);

    /// Puts the first jobs that wait for capacity back into the queue.
    void wakeWaiting(std::size_t count);
    void dequeue(Job &job);

    void countUsage(TaskReference reference);
    void releaseUsage(TaskReference reference);

    /// Journals the intent of the present attempt. Its result is waited for.
    void journalIntent(TaskReference reference);

    /// Journals the end of the present attempt. If the entry is lost, the next home asks the owner.
    void journalEnd(TaskReference reference, TaskState state);
    void journalEnd(const Job &job, const message::TaskEnded &ended);

    /// The attempt whose intent this result is about.
    [[nodiscard]] std::optional<AttemptId> takeIntent(const event::JournalResult &result);

    /// Records the outcome once all tasks are in a final phase.
    void endIfComplete(Job &job);

    [[nodiscard]] std::vector<TaskReference> takeDueTasks();
    void takeDueJobs();
    void forgetOldJobs();

    Context &context;
    TeamUsage usage;
    JobQueue queue;
    JobQueue waiting; ///< Jobs that found no capacity.
    JobRows rows;
    std::set<PartitionId> loaded; ///< Partitions whose rows have been read.

    /// Messages about jobs whose rows have not been read yet.
    std::vector<std::pair<DaemonName, Message>> early;

private:
    using TaskTimer = std::tuple<TimePoint, JobId, std::uint32_t>;

    void finish(Job &job);
    void keepUntil(Job &job, TimePoint time);
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
