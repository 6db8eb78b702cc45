#pragma once

#include <cell/model.h>
#include <cell/ports.h>

#include <base/resources.h>
#include <base/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace cowsliprock::cell {

enum class RunPhase {
    Starting, ///< The order was sent; its outcome is unknown.
    Running,
    Stopping, ///< To be stopped; may still be active.
};

/// State of a worker in the stored roster.
enum class RosterState {
    Absent, ///< Not listed: nothing of this shard runs there.
    Closed, ///< May run tasks of the listed jobs only; receives no orders.
    Open,   ///< May receive orders.
};

using RunKey = std::pair<TaskId, std::uint32_t>;

/// One start of a task on one worker. It occupies capacity until it is certain to have ended.
struct Run
{
    TaskId task;
    std::uint32_t number = 0;
    Resources held;
    std::string customer;     ///< Customer whose quota it uses; empty if it has none.
    bool sizeUnknown = false; ///< Its job is no longer known.
    RunPhase phase = RunPhase::Starting;
    bool gang = false;
    bool lasting = false;     ///< It does not end by itself.
    bool adopted = false;     ///< Started by an earlier owner at an unknown time.
    bool resumed = false;     ///< Started from a checkpoint.
    bool stray = false;       ///< Not the run that its task is waiting for; it is being stopped.
    bool lossCounted = false; ///< The loss of its worker was counted for its task.
    TimePoint ordered{};
    TimePoint confirmed{}; ///< When the worker was first known to run it.
    bool listed = false;   ///< Listed by an inventory of the worker's current incarnation.
    std::optional<TimePoint> stopConfirmed;
    bool startPending = false;   ///< The order, or a retry of it, may still be in transit.
    bool outcomeUnknown = false; ///< The outcome of its start is unknown.
    TimePoint unknownSince{};    ///< When the last attempt was abandoned.
    std::uint32_t percent = 0;
    TimePoint progressed{}; ///< When the percentage last rose, or the run began its work.
    std::string checkpoint;

    /// True if the worker was ever known to run it; one that is being stopped may never have begun.
    [[nodiscard]] bool wasConfirmed() const noexcept { return confirmed != TimePoint(); }
};

/// Health of a worker, derived from the outcomes of its runs.
struct WorkerHealth
{
    std::uint32_t consecutiveFailures = 0;
    std::string lastFailedJob;
    TimePoint lastFailure{};
    std::uint32_t quarantines = 0;
    TimePoint quarantinedSince{}; ///< Start of the newest quarantine.
    TimePoint quarantinedUntil{};
    TimePoint pausedUntil{}; ///< It did not accept an order: it receives no new tasks until then.
    TimePoint slowUntil{};   ///< Its runs fell behind: it receives no new tasks until then.

    /// True if the outcomes of its runs exclude the worker from new tasks.
    [[nodiscard]] bool excludedAt(TimePoint now) const noexcept
    {
        return quarantinedUntil > now || slowUntil > now;
    }
};

/// A failed run, as evidence on the health of its worker.
struct FailedRun
{
    std::string job;
    TimePoint ordered{};
    bool workedLong = false; ///< It worked as a long-running task should before it failed.
};

struct Worker
{
    WorkerEntry entry;
    std::optional<TimePoint> unlistedSince; ///< Set while discovery does not list it.
    std::int64_t born = 0;                  ///< Identifies the current incarnation.
    std::uint64_t token = 0;                ///< Fencing token of orders to this incarnation.
    bool fenced = false;                    ///< This incarnation has accepted the token.
    std::uint64_t processedEnds = 0;        ///< Number of the last end that was processed.
    std::uint64_t awaitedEnds = 0;          ///< Number of the last end that is being stored.
    std::uint64_t durableEnds = 0;          ///< Number of the last end that may be acknowledged.
    /// Jobs of ends that are processed but not yet durable.
    std::set<std::string> jobsWithUnsavedEnds;
    std::chrono::milliseconds clock{};               ///< Last reading of its monotonic clock.
    TimePoint clockReadAt{};                         ///< Local time of that reading.
    std::chrono::milliseconds inventoryClock{};      ///< Its clock as of the newest inventory.
    std::chrono::milliseconds firstInventoryClock{}; ///< Its clock when it accepted this owner.
    TimePoint leaseEnds{}; ///< Time by which the leases of all its runs have expired.
    TimePoint lastContact{};
    std::optional<TimePoint> refusedSince; ///< It has refused connections since its last answer.
    bool reachable = false;
    bool usedByPreviousOwner = false; ///< An earlier owner may have started tasks on it.
    /// All runs that earlier owners may have started on it are known or have ended.
    bool reconciled = false;
    /// Jobs of which an earlier owner may have started tasks; nothing if it may be any job.
    std::optional<std::set<std::string>> previousOwnerJobs;
    RosterState rosterState = RosterState::Absent; ///< State in the stored roster.
    bool suspect = false; ///< A request has failed: no new tasks until the worker answers again.
    Resources held;
    std::uint32_t runsOfUnknownSize = 0; ///< While there are any, it receives no new tasks.
    std::map<RunKey, Run> runs;
    WorkerHealth health;
    /// Relative to the mean of all workers; 1 unless unlike speeds are proven.
    double speed = 1;
    int speedClass = 0; ///< Class of the speed; higher classes are faster.

    [[nodiscard]] Resources free() const noexcept { return entry.capacity - held; }
    /// True if discovery describes the current incarnation. The former one may have had another
    /// capacity, other labels and another service.
    [[nodiscard]] bool entryIsCurrent() const noexcept
    {
        return entry.born == 0 || entry.born == born;
    }
    /// True if any incarnation has accepted a token of this owner.
    [[nodiscard]] bool hasObeyed() const noexcept
    {
        return firstInventoryClock > std::chrono::milliseconds::zero();
    }
    [[nodiscard]] std::chrono::milliseconds clockAt(TimePoint now) const;
};

[[nodiscard]] WorkerTarget targetOf(const Worker &worker);

/// True if the run may belong to the new incarnation of the worker, whose inventory was requested
/// at \p requestedAt and does not list it: the order is unanswered, was sent since, or was accepted
/// by an unknown incarnation.
[[nodiscard]] bool mayStillArrive(const Run &run, TimePoint requestedAt) noexcept;

/// True if the worker may receive new tasks now.
[[nodiscard]] bool usable(const Worker &worker, TimePoint now);

/// Adds a run to the worker and returns it.
Run &addRun(Worker &worker, Run run);

/// Removes a run from the worker and returns it, or nothing if it is not there.
std::optional<Run> removeRun(Worker &worker, const RunKey &key);

/// True if the run has worked for so long that it shows its worker to be sound.
[[nodiscard]] bool worksLong(const Run &run, TimePoint now) noexcept;

/// Records that a run succeeded.
void recordSuccess(Worker &worker) noexcept;

/// Records that a run is working, which counts as a success once it works for long. Long-running
/// tasks never end with a success.
void recordProgress(Worker &worker, const Run &run, TimePoint now) noexcept;

/// Records that a run failed; returns true if the worker should be quarantined.
bool recordFailure(Worker &worker, const FailedRun &failed, TimePoint now);

/// Excludes the worker from new tasks, for twice as long each time until a run succeeds.
void quarantine(Worker &worker, TimePoint now);

/// Excludes a worker that did not accept an order from new tasks for a moment.
void pause(Worker &worker, TimePoint now, Duration time);

/// True if one more of the workers of a service may be excluded for the outcomes of its runs. If
/// many workers appear faulty, the cause is unlikely to be the workers themselves.
[[nodiscard]] bool mayExcludeWorker(std::size_t excluded, std::size_t workers) noexcept;

/// Workers by id. References stay valid until the worker is erased.
using WorkerTable = std::unordered_map<std::string, Worker>;

} // namespace cowsliprock::cell
