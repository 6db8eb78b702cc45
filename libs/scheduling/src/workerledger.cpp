#include "workerledger.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

bool startInProgress(HoldState state) noexcept
{
    return state == HoldState::Starting || state == HoldState::Unknown;
}

} // namespace

std::vector<Hold> WorkerLedger::synchronize()
{
    std::vector<WorkerName> gone;
    for (const auto &[name, worker] : m_workers) {
        if (!m_context.workerVms.contains(name))
            gone.push_back(name);
    }
    std::vector<Hold> lost;
    for (const auto &name : gone)
        dropWorker(name, &lost);
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
    return lost;
}

void WorkerLedger::addWorker(const WorkerName &name, const VmEntry &vm,
                             const PartitionId &partition)
{
    Worker added;
    added.vm = vm;
    added.partition = partition;
    added.usableFrom = m_context.owned.at(partition).usableFrom;
    added.nextPoll = std::max(m_context.now, added.usableFrom);
    // The previous owner renewed leases before usableFrom at the latest.
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

void WorkerLedger::dropWorker(const WorkerName &name, std::vector<Hold> *lost)
{
    const std::set<AttemptId> attempts = m_workers.at(name).attempts;
    for (const auto &attempt : attempts) {
        Hold removed = remove(attempt);
        if (lost != nullptr)
            lost->push_back(std::move(removed));
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

Hold *WorkerLedger::hold(const AttemptId &attempt)
{
    const auto iterator = m_holds.find(attempt);
    return iterator == m_holds.end() ? nullptr : &iterator->second;
}

Hold &WorkerLedger::add(Hold hold)
{
    Worker &worker = m_workers.at(hold.worker);
    const AttemptId attempt = hold.launch.attempt;
    worker.held += hold.amount;
    worker.attempts.insert(attempt);
    if (startInProgress(hold.state))
        ++worker.starting;
    if (hold.state != HoldState::Running)
        m_active.insert(attempt);
    Hold &result = m_holds.emplace(attempt, std::move(hold)).first->second;
    refresh(worker);
    return result;
}

void WorkerLedger::changeState(Hold &hold, HoldState state)
{
    Worker &worker = m_workers.at(hold.worker);
    worker.starting -= startInProgress(hold.state) ? 1 : 0;
    worker.starting += startInProgress(state) ? 1 : 0;
    hold.state = state;
    if (state == HoldState::Running && !hold.stopWanted)
        m_active.erase(hold.launch.attempt);
    else
        m_active.insert(hold.launch.attempt);
    refresh(worker);
}

void WorkerLedger::wantStop(Hold &hold)
{
    hold.stopWanted = true;
    m_active.insert(hold.launch.attempt);
}

Hold WorkerLedger::remove(const AttemptId &attempt)
{
    const auto iterator = m_holds.find(attempt);
    Hold removed = std::move(iterator->second);
    m_holds.erase(iterator);
    // The argument may be a part of the hold that was erased.
    m_active.erase(removed.launch.attempt);
    Worker &worker = m_workers.at(removed.worker);
    worker.held -= removed.amount;
    worker.starting -= startInProgress(removed.state) ? 1 : 0;
    worker.attempts.erase(removed.launch.attempt);
    refresh(worker);
    return removed;
}

bool WorkerLedger::takesWork(const Worker &worker) const
{
    return worker.reported && !worker.vm.leaving && worker.unreachable == 0
        && !m_ejection.ejected(WorkerName(worker.vm.name), m_context.now);
}

void WorkerLedger::refresh(Worker &worker)
{
    const WorkerName name(worker.vm.name);
    if (!takesWork(worker)) {
        m_index.remove(name);
        return;
    }
    const Resources free = componentMax(worker.capacity - worker.held, Resources{});
    const Candidate *before = m_index.find(name);
    m_freed |= before == nullptr || !free.fitsIn(before->free);
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
    return largestTypes(std::move(types));
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

std::vector<Resources> largestTypes(std::vector<Resources> types)
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
        // Merging the rest may only make a type larger, so that no feasible task is refused.
        if (result.size() == maximumTypes)
            result.back() = componentMax(result.back(), types[i]);
        else
            result.push_back(types[i]);
    }
    return result;
}

} // namespace cowsliprock::scheduling
