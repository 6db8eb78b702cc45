#pragma once

#include <base/resources.h>
#include <base/time.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The scheduler of one cell: all workers and jobs of one user, run by interchangeable daemons.
namespace cowsliprock::cell {

using WallTime = std::chrono::system_clock::time_point;

/// How a queue's policy service decides which workers may run a step.
struct AdviceSettings
{
    Duration decision{};  ///< Time of one decision.
    Duration perWorker{}; ///< Additional time for each worker asked about.
    Duration validity{};  ///< Life of a ticket.
};

/// What the operator configured for one queue.
struct QueueSettings
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::uint32_t priority = 0; ///< 0 goes first.
    std::uint32_t maxAttempts = 1;
    double extension = 1.0; ///< Factor on the longest chain of work in the job's objective.
    Duration targetRuntime{};
    Duration timeout{};
    std::optional<AdviceSettings> advice;
};

/// What the operator configured for one service.
struct ServiceSettings
{
    std::string name;
    std::string healthPath;
    bool enforcesCapacity = false;
    bool standby = false;
};

/// One version of the operator's configuration.
struct CellConfiguration
{
    std::uint64_t version = 0;
    std::vector<QueueSettings> queues;
    std::vector<ServiceSettings> services;

    /// The queue with the longest prefix that \p path begins with, or null.
    [[nodiscard]] const QueueSettings *queueFor(const std::string &host,
                                                const std::string &path) const;
    [[nodiscard]] const QueueSettings *queueNamed(const std::string &name) const;
};

/// Tasks of one kind in a job.
struct StepSpec
{
    std::uint32_t count = 1;
    Resources amount; ///< Of one task.
    Duration estimate{};
    std::vector<std::uint32_t> after; ///< Steps that must be done first.
    bool checkpointing = false;
    bool gang = false;
    bool sameRack = false;
    bool speculative = false;
    bool longRunning = false;
    bool fills = false; ///< Uses only processor time that other tasks leave.
    std::string requiredLabel;
    std::string preferredRack;
    std::uint32_t maxPerWorker = 0; ///< 0: no limit.
    std::uint32_t maxUnavailable = 0;
    std::string image;
    Duration targetLatency{};
};

struct JobSpec
{
    std::string spec; ///< Opaque text that every start carries.
    std::vector<StepSpec> steps;
    std::uint32_t repeatCount = 0;          ///< 0: runs once, at once.
    std::chrono::milliseconds firstStart{}; ///< Since 1970.
    std::chrono::milliseconds interval{};
};

/// A job as it lies in the store.
struct JobRecord
{
    std::string id;
    QueueSettings queue; ///< As configured when the job was accepted.
    std::uint64_t configurationVersion = 0;
    JobSpec spec;
    bool cancelled = false;
};

enum class JobStatus { Queued, Running, Completed, Failed, Cancelled };

[[nodiscard]] const char *toString(JobStatus status) noexcept;
[[nodiscard]] std::optional<JobStatus> parseJobStatus(const std::string &text);

/// One task of one occurrence of a job. Its text form is "JOB.OCCURRENCE.STEP.INDEX".
struct TaskId
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default;
    [[nodiscard]] std::string text() const;
    /// Text of the step: "JOB.OCCURRENCE.STEP".
    [[nodiscard]] std::string stepText() const;
};

[[nodiscard]] std::optional<TaskId> parseTaskId(const std::string &text);

/// A worker as the platform's discovery shows it.
struct WorkerEntry
{
    std::string id; ///< May be reused by a later life.
    std::string address;
    std::string service;
    std::string dataCentre;
    bool draining = false;
    std::chrono::milliseconds remaining{}; ///< Least time until a draining worker leaves.
    Resources capacity;
    std::vector<std::string> labels; ///< Kind of machine and rack.
    std::int64_t born = 0;           ///< Start of this life, in ms since 1970; 0 if unknown.
};

/// How a run ended.
enum class EndKind { Done, Failed, Stopped, Lapsed, Broken, Alone };

[[nodiscard]] const char *toString(EndKind kind) noexcept;

struct RunningTask
{
    TaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
};

struct FinishedTask
{
    std::uint64_t number = 0; ///< Rises within a life of the worker.
    TaskId task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

/// Everything a worker has to say about its tasks.
struct Inventory
{
    std::int64_t born = 0;
    std::chrono::milliseconds clock{}; ///< The worker's own steady clock.
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished; ///< Ends that were not acknowledged.
};

} // namespace cowsliprock::cell
