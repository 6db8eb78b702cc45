#pragma once

#include "context.h"
#include "ejection.h"

#include <scheduling/capacityindex.h>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cowsliprock::scheduling {

enum class HoldState {
    Pending,  ///< Waits until displaced tasks are gone.
    Reserved, ///< Granted, not started.
    Starting, ///< The start was sent, no result yet.
    Unknown,  ///< The result of the start is unknown.
    Running   ///< Started, or reported by the worker.
};

/// An amount of a worker's capacity that is held for one attempt of a task.
struct Hold
{
    TaskLaunch launch;
    WorkerName worker;
    HoldState state = HoldState::Reserved;
    Resources amount; ///< The larger of the declared and the corrected size.
    Priority priority = Priority::Normal;
    bool mayYield = false;
    DaemonName requester;
    TimePoint expires;     ///< Of a pending or granted reservation.
    TimePoint settledBy;   ///< The start cannot take effect later than this.
    TimePoint confirmedAt; ///< From when on the task is known to run.
    bool stopWanted = false;
    bool checkpointFirst = false;
    TimePoint stopAgainAt;
    bool reportedLive = false;
    DaemonIdentity announcedTo; ///< Home that was told that the task runs.
    TimePoint announcedAt;
    bool ownerOrHomeChanged = false; ///< Since the start; the home may not know of the task.
};

struct Worker
{
    VmEntry vm;
    PartitionId partition;
    TimePoint usableFrom;
    bool reported = false; ///< A report asked at or after usableFrom has arrived.
    Resources capacity;
    TimePoint reportAskedAt;
    TimePoint nextPoll;
    unsigned unreachable = 0; ///< Polls in a row without an answer.
    TimePoint leaseEnd; ///< By then the lease of any task has ended that is not renewed again.
    Resources held;
    std::uint32_t starting = 0;
    std::set<AttemptId> attempts;
};

/// The workers of owned partitions and what is held on them. Keeps the index of free capacity.
class WorkerLedger
{
public:
    explicit WorkerLedger(Context &context)
        : m_context(context)
    { }

    /// Follows the VM list and the owned partitions. Returns the holds on VMs that have ended.
    [[nodiscard]] std::vector<Hold> synchronize();

    /// Drops the workers of a partition that is no longer owned.
    void dropPartition(const PartitionId &partition);

    [[nodiscard]] Worker *worker(const WorkerName &name);
    [[nodiscard]] Hold *hold(const AttemptId &attempt);
    [[nodiscard]] std::map<WorkerName, Worker> &workers() noexcept { return m_workers; }
    [[nodiscard]] const std::map<WorkerName, Worker> &workers() const noexcept { return m_workers; }
    [[nodiscard]] const std::map<AttemptId, Hold> &holds() const noexcept { return m_holds; }

    /// Holds that are not simply running: reservations, starts, wanted stops.
    [[nodiscard]] const std::set<AttemptId> &active() const noexcept { return m_active; }

    Hold &add(Hold hold);
    void changeState(Hold &hold, HoldState state);
    void wantStop(Hold &hold);
    [[nodiscard]] Hold remove(const AttemptId &attempt);

    /// Updates the index after a change of the worker.
    void refresh(Worker &worker);

    /// True if capacity has become free since the last call.
    [[nodiscard]] bool takeFreed() noexcept { return std::exchange(m_freed, false); }

    [[nodiscard]] const CapacityIndex &index() const noexcept { return m_index; }
    [[nodiscard]] Ejection &ejection() noexcept { return m_ejection; }
    [[nodiscard]] const Ejection &ejection() const noexcept { return m_ejection; }
    [[nodiscard]] bool takesWork(const Worker &worker) const;

    /// Reported capacities of which none fits in another, at most eight.
    [[nodiscard]] std::vector<Resources> workerTypes() const;
    [[nodiscard]] LoadSummary load() const;

private:
    void dropWorker(const WorkerName &name, std::vector<Hold> *lost);
    void addWorker(const WorkerName &name, const VmEntry &vm, const PartitionId &partition);

    Context &m_context;
    std::map<WorkerName, Worker> m_workers;
    std::map<AttemptId, Hold> m_holds;
    std::set<AttemptId> m_active;
    CapacityIndex m_index;
    Ejection m_ejection;
    bool m_freed = false;
};

/// Removes every amount that fits in another one. More than eight are merged.
[[nodiscard]] std::vector<Resources> largestTypes(std::vector<Resources> types);

} // namespace cowsliprock::scheduling
