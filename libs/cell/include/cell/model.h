#pragma once

#include <cell/customers.h>

#include <base/resources.h>
#include <base/time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Scheduler of one cell: all workers and jobs of one user, managed by interchangeable daemons.
namespace cowsliprock::cell {

using WallTime = std::chrono::system_clock::time_point;

/// Timing of the policy service that decides which workers may run a step of a queue.
struct AdviceSettings
{
    Duration decision{};  ///< Time that one decision takes.
    Duration perWorker{}; ///< Additional time for each candidate worker.
    Duration validity{};  ///< How long a ticket is valid.
};

/// Configuration of one queue.
struct QueueSettings
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::uint32_t priority = 0; ///< 0 is the highest priority.
    std::uint32_t maxAttempts = 1;
    double extension = 1.0; ///< Factor applied to the critical path in the job's objective.
    Duration targetRuntime{};
    Duration timeout{};
    std::optional<AdviceSettings> advice;
    bool anonymous = false; ///< Its callers need no API key.
};

/// Configuration of one service.
struct ServiceSettings
{
    std::string name;
    std::string healthPath;
    bool enforcesCapacity = false;
    bool standby = false;
};

/// The caller of a request.
struct Caller
{
    std::string customer; ///< Empty if the queue or the configuration requires no API key.
};

/// Limits on the requests of clients. Those that are not set are left to the daemon.
struct RequestLimits
{
    std::optional<std::size_t> headerBytes;
    std::optional<std::size_t> bodyBytes;
    std::optional<Duration> headerTimeout;
    std::optional<Duration> idleTimeout;
};

/// One version of the operator's configuration.
struct CellConfiguration
{
    std::uint64_t version = 0;
    std::vector<QueueSettings> queues;
    std::vector<ServiceSettings> services;
    CustomerDirectory customers;
    RequestLimits limits;

    /// Returns the queue of \p host with the longest prefix matching \p path, or null.
    [[nodiscard]] const QueueSettings *matchQueue(const std::string &host,
                                                  const std::string &path) const;
    [[nodiscard]] const QueueSettings *findQueue(const std::string &name) const;
    /// Identifies the caller of a queue by the API key that was sent; nothing if the key is
    /// required, but missing or unknown.
    [[nodiscard]] std::optional<Caller>
    authenticate(const QueueSettings &queue, const std::optional<std::string> &apiKey) const;
};

/// A step of a job: a set of identical tasks.
struct StepSpec
{
    std::uint32_t count = 1;
    Resources amount; ///< Resources of one task.
    Duration estimate{};
    std::vector<std::uint32_t> after; ///< Indices of the steps that must complete first.
    bool checkpointing = false;
    bool gang = false;
    bool sameRack = false;
    bool speculative = false;
    bool longRunning = false;
    bool bestEffort = false; ///< Uses only CPU time that other tasks leave idle.
    std::string requiredLabel;
    std::string preferredRack;
    std::uint32_t maxPerWorker = 0; ///< 0 means no limit.
    std::uint32_t maxUnavailable = 0;
    std::string image;
    Duration targetLatency{};
};

struct JobSpec
{
    std::string spec; ///< Opaque text that is passed to the worker with every start order.
    std::vector<StepSpec> steps;
    std::uint32_t repeatCount = 0;          ///< 0: runs once, immediately.
    std::chrono::milliseconds firstStart{}; ///< Since the Unix epoch.
    std::chrono::milliseconds interval{};
};

/// True if each task of the job, and each gang as a whole, fits in the quota of the customer.
[[nodiscard]] bool fitsQuota(const CustomerSettings &customer, const JobSpec &spec) noexcept;

/// Capacity occupied by a task of the step.
[[nodiscard]] Resources heldBy(const StepSpec &step) noexcept;

/// A job as persisted in the store.
struct JobRecord
{
    std::string id;
    std::string customer; ///< Empty if it was submitted without an API key.
    QueueSettings queue;  ///< Configuration at the time the job was accepted.
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

/// A worker as reported by the platform's service discovery.
struct WorkerEntry
{
    std::string id; ///< May be reused by a later incarnation of the worker.
    std::string address;
    std::string service;
    std::string dataCentre;
    bool draining = false;
    std::chrono::milliseconds remaining{}; ///< Minimum time until a draining worker leaves.
    Resources capacity;
    std::vector<std::string> labels; ///< Machine type and rack.
    std::int64_t born = 0; ///< Start of this incarnation, in ms since the Unix epoch; 0 if
                           ///< unknown.
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
    std::uint64_t number = 0; ///< Increases monotonically within an incarnation of the worker.
    TaskId task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

/// A worker's report of its running and finished tasks.
struct Inventory
{
    std::int64_t born = 0;
    std::chrono::milliseconds clock{}; ///< Monotonic clock of the worker.
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished; ///< Finished runs that have not been acknowledged yet.
    /// More runs may have finished than are listed; the others are listed once these are
    /// acknowledged.
    bool moreFinished = false;
};

} // namespace cowsliprock::cell
