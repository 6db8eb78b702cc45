#pragma once

#include "context.h"
#include "ejection.h"

#include <scheduling/capacityindex.h>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cowsliprock::scheduling {

enum class AllocationState {
    Pending,  ///< Waits until preempted tasks have ended.
    Reserved, ///< Granted, not started.
    Starting, ///< The start request was sent; its result is pending.
    Unknown,  ///< The result of the start is unknown.
    Running   ///< Started, or reported by the worker.
};

/// Worker capacity that is allocated to one attempt of a task.
struct Allocation
{
    TaskLaunch launch;
    WorkerName worker;
    AllocationState state = AllocationState::Reserved;
    Resources amount; ///< The larger of the declared and the corrected size.
    Priority priority = Priority::Normal;
    bool mayYield = false;
    DaemonName requester;
    TimePoint expires;          ///< Expiry of a pending or granted reservation.
    TimePoint startEffectiveBy; ///< Latest time at which the start can take effect.
    TimePoint confirmedAt;      ///< Time from which the task is known to run.
    bool stopRequested = false;
    bool checkpointFirst = false;
    TimePoint nextStopAt;
    bool reportedLive = false;
    DaemonIdentity notifiedHome; ///< Home that was notified that the task runs.
    TimePoint notifiedAt;
    bool ownerOrHomeChanged =
        false; ///< Owner or home changed since the start, so the home may not know of the task.
};

struct Worker
{
    VmEntry vm;
    PartitionId partition;
    TimePoint usableFrom;
    bool reported = false; ///< A report requested at or after usableFrom has arrived.
    Resources capacity;
    TimePoint reportAskedAt;
    TimePoint nextPoll;
    unsigned unreachable = 0; ///< Consecutive unanswered polls.
    TimePoint leaseEnd; ///< Time by which all task leases that are not renewed again have expired.
    Resources allocated;
    std::uint32_t starting = 0;
    std::set<AttemptId> attempts;
};

/// Workers of owned partitions and their allocations. Maintains the index of free capacity.
class WorkerLedger
{
public:
    explicit WorkerLedger(Context &context)
        : m_context(context)
    { }

    /// Synchronizes the workers with the VM list and the owned partitions. Returns the allocations
    /// on VMs that have ended.
    [[nodiscard]] std::vector<Allocation> synchronize();

    /// Removes the workers of a partition that is no longer owned.
    void dropPartition(const PartitionId &partition);

    [[nodiscard]] Worker *worker(const WorkerName &name);
    [[nodiscard]] Allocation *allocation(const AttemptId &attempt);
    [[nodiscard]] std::map<WorkerName, Worker> &workers() noexcept { return m_workers; }
    [[nodiscard]] const std::map<WorkerName, Worker> &workers() const noexcept { return m_workers; }
    [[nodiscard]] const std::map<AttemptId, Allocation> &allocations() const noexcept
    {
        return m_allocations;
    }

    /// Allocations that require periodic processing: reservations, starts and requested stops.
    [[nodiscard]] const std::set<AttemptId> &active() const noexcept { return m_active; }

    Allocation &add(Allocation allocation);
    void changeState(Allocation &allocation, AllocationState state);
    void requestStop(Allocation &allocation);
    [[nodiscard]] Allocation remove(const AttemptId &attempt);

    /// Updates the index after a worker has changed.
    void refresh(Worker &worker);

    /// True if capacity has become free since the last call.
    [[nodiscard]] bool takeCapacityFreed() noexcept
    {
        return std::exchange(m_capacityFreed, false);
    }

    [[nodiscard]] const CapacityIndex &index() const noexcept { return m_index; }
    [[nodiscard]] Ejection &ejection() noexcept { return m_ejection; }
    [[nodiscard]] const Ejection &ejection() const noexcept { return m_ejection; }
    [[nodiscard]] bool acceptsTasks(const Worker &worker) const;

    /// Returns the maximal reported capacities (none of which fits into another), at most eight.
    [[nodiscard]] std::vector<Resources> workerTypes() const;
    [[nodiscard]] LoadSummary load() const;

private:
    void dropWorker(const WorkerName &name, std::vector<Allocation> *droppedAllocations);
    void addWorker(const WorkerName &name, const VmEntry &vm, const PartitionId &partition);

    Context &m_context;
    std::map<WorkerName, Worker> m_workers;
    std::map<AttemptId, Allocation> m_allocations;
    std::set<AttemptId> m_active;
    CapacityIndex m_index;
    Ejection m_ejection;
    bool m_capacityFreed = false;
};

/// Removes every amount that fits into another one. Amounts beyond the eighth are merged.
[[nodiscard]] std::vector<Resources> maximalTypes(std::vector<Resources> types);

} // namespace cowsliprock::scheduling
