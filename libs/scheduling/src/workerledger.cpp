#include "workerledger.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

bool startInProgress(AllocationState state) noexcept
{
    return state == AllocationState::Starting || state == AllocationState::Unknown;
}

} // namespace

std::vector<Allocation> WorkerLedger::synchronize()
{
    std::vector<WorkerName> removedWorkers;
    for (const auto &[name, worker] : m_workers) {
        if (!m_context.workerVms.contains(name))
            removedWorkers.push_back(name);
    }
    std::vector<Allocation> droppedAllocations;
    for (const auto &name : removedWorkers)
        dropWorker(name, &droppedAllocations);
    for (const auto &[name, vm] : m_context.workerVms) {
        if (Worker *known = worker(name); known != nullptr) {
            known->vm = vm;
            refresh(*known);
            continue;
        }
        const PartitionId partition = partitionOf(name.value(), vm.location.dataCentre,
                                                  m_context.settings.partitionsPerDataCentre);
        if (m_context.owns(partition))
            addWorker(name, vm, partition);
    }
    return droppedAllocations;
}

void WorkerLedger::addWorker(const WorkerName &name, const VmEntry &vm,
                             const PartitionId &partition)
{
    Worker added;
    added.vm = vm;
    added.partition = partition;
    added.usableFrom = m_context.owned.at(partition).usableFrom;
    added.nextPoll = std::max(m_context.now, added.usableFrom);
    // The previous owner cannot have renewed leases after usableFrom.
    added.leaseEnd = added.nextPoll + m_context.settings.quarantine + m_context.settings.taskLease
        + taskLeaseMargin;
    m_workers.emplace(name, std::move(added));
}

void WorkerLedger::dropPartition(const PartitionId &partition)
{
    std::vector<WorkerName> names;
    for (const auto &[name, worker] : m_workers) {
        if (worker.partition == partition)
            names.push_back(name);
    }
    for (const auto &name : names)
        dropWorker(name, nullptr);
}

void WorkerLedger::dropWorker(const WorkerName &name, std::vector<Allocation> *droppedAllocations)
{
    const std::set<AttemptId> attempts = m_workers.at(name).attempts;
    for (const auto &attempt : attempts) {
        Allocation removed = remove(attempt);
        if (droppedAllocations != nullptr)
            droppedAllocations->push_back(std::move(removed));
    }
    m_index.remove(name);
    m_ejection.forget(name);
    m_workers.erase(name);
}

Worker *WorkerLedger::worker(const WorkerName &name)
{
    const auto iterator = m_workers.find(name);
    return iterator == m_workers.end() ? nullptr : &iterator->second;
}

Allocation *WorkerLedger::allocation(const AttemptId &attempt)
{
    const auto iterator = m_allocations.find(attempt);
    return iterator == m_allocations.end() ? nullptr : &iterator->second;
}

Allocation &WorkerLedger::add(Allocation allocation)
{
    Worker &worker = m_workers.at(allocation.worker);
    const AttemptId attempt = allocation.launch.attempt;
    worker.allocated += allocation.amount;
    worker.attempts.insert(attempt);
    if (startInProgress(allocation.state))
        ++worker.starting;
    if (allocation.state != AllocationState::Running)
        m_active.insert(attempt);
    Allocation &result = m_allocations.emplace(attempt, std::move(allocation)).first->second;
    refresh(worker);
    return result;
}

void WorkerLedger::changeState(Allocation &allocation, AllocationState state)
{
    Worker &worker = m_workers.at(allocation.worker);
    worker.starting -= startInProgress(allocation.state) ? 1 : 0;
    worker.starting += startInProgress(state) ? 1 : 0;
    allocation.state = state;
    if (state == AllocationState::Running && !allocation.stopRequested)
        m_active.erase(allocation.launch.attempt);
    else
        m_active.insert(allocation.launch.attempt);
    refresh(worker);
}

void WorkerLedger::requestStop(Allocation &allocation)
{
    allocation.stopRequested = true;
    m_active.insert(allocation.launch.attempt);
}

Allocation WorkerLedger::remove(const AttemptId &attempt)
{
    const auto iterator = m_allocations.find(attempt);
    Allocation removed = std::move(iterator->second);
    m_allocations.erase(iterator);
    // The argument may refer to a member of the erased allocation.
    m_active.erase(removed.launch.attempt);
    Worker &worker = m_workers.at(removed.worker);
    worker.allocated -= removed.amount;
    worker.starting -= startInProgress(removed.state) ? 1 : 0;
    worker.attempts.erase(removed.launch.attempt);
    refresh(worker);
    return removed;
}

bool WorkerLedger::acceptsTasks(const Worker &worker) const
{
    return worker.reported && !worker.vm.leaving && worker.unreachable == 0
        && !m_ejection.ejected(WorkerName(worker.vm.name), m_context.now);
}

void WorkerLedger::refresh(Worker &worker)
{
    const WorkerName name(worker.vm.name);
    if (!acceptsTasks(worker)) {
        m_index.remove(name);
        return;
    }
    const Resources free = componentMax(worker.capacity - worker.allocated, Resources{});
    const Candidate *before = m_index.find(name);
    m_capacityFreed |= before == nullptr || !free.fitsIn(before->free);
    m_index.update({ name, worker.capacity, free, worker.starting });
}

std::vector<Resources> WorkerLedger::workerTypes() const
{
    std::vector<Resources> types;
    for (const auto &[name, worker] : m_workers) {
        if (worker.reported
            && std::find(types.begin(), types.end(), worker.capacity) == types.end())
            types.push_back(worker.capacity);
    }
    return maximalTypes(std::move(types));
}

LoadSummary WorkerLedger::load() const
{
    LoadSummary result;
    result.freeResources = m_index.totalFree();
    m_index.scan([&](const Candidate &candidate) {
        result.largestFree = componentMax(result.largestFree, candidate.free);
        return true;
    });
    result.workerTypes = workerTypes();
    return result;
}

std::vector<Resources> maximalTypes(std::vector<Resources> types)
{
    constexpr std::size_t maximumTypes = 8;
    std::vector<Resources> result;
    for (std::size_t i = 0; i < types.size(); ++i) {
        const auto covers = [&](std::size_t other) {
            return other != i && types[i].fitsIn(types[other])
                && (types[i] != types[other] || other < i);
        };
        bool covered = false;
        for (std::size_t other = 0; other < types.size() && !covered; ++other)
            covered = covers(other);
        if (covered)
            continue;
        // Merging only increases the type, so that no feasible task is refused.
        if (result.size() == maximumTypes)
            result.back() = componentMax(result.back(), types[i]);
        else
            result.push_back(types[i]);
    }
    return result;
}

} // namespace cowsliprock::scheduling
