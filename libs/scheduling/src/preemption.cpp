#include "preemption.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

/// Number of workers examined for one urgent reservation.
constexpr std::size_t workersExamined = 16;

/// Cost of preempting a task. Batch work is preempted before normal work, and smaller allocations
/// before larger ones within a class.
double costOf(const Allocation &allocation, const Resources &capacity) noexcept
{
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    const double size = std::max({ share(allocation.amount.cpuMillis, capacity.cpuMillis),
                                   share(allocation.amount.memoryMb, capacity.memoryMb),
                                   share(allocation.amount.accelerators, capacity.accelerators) });
    return size + (allocation.priority == Priority::Batch ? 0.0 : 10.0);
}

} // namespace

std::vector<Allocation *> Preemption::preemptibleTasks(const Worker &worker)
{
    std::vector<Allocation *> result;
    for (const auto &attempt : worker.attempts) {
        Allocation *allocation = m_state.ledger.allocation(attempt);
        if (allocation->state == AllocationState::Running && allocation->mayYield
            && !allocation->stopRequested && allocation->priority != Priority::Urgent)
            result.push_back(allocation);
    }
    std::stable_sort(result.begin(), result.end(),
                     [&](const Allocation *left, const Allocation *right) {
                         return costOf(*left, worker.capacity) < costOf(*right, worker.capacity);
                     });
    return result;
}

std::optional<Preemption::Victims> Preemption::selectVictims(const Candidate &candidate,
                                                             const Resources &amount)
{
    const Worker &worker = *m_state.ledger.worker(candidate.worker);
    if (!amount.fitsIn(worker.capacity))
        return std::nullopt;
    std::vector<Allocation *> chosen;
    Resources free = worker.capacity - worker.allocated;
    for (const auto &attempt : worker.attempts) {
        // Capacity that earlier urgent reservations have requested; it is already allocated to
        // them.
        if (const Allocation &allocation = *m_state.ledger.allocation(attempt);
            allocation.stopRequested)
            free += allocation.amount;
    }
    for (Allocation *allocation : preemptibleTasks(worker)) {
        if (amount.fitsIn(free))
            break;
        free += allocation->amount;
        chosen.push_back(allocation);
    }
    if (!amount.fitsIn(free))
        return std::nullopt;
    // Tasks chosen later may make earlier ones unnecessary.
    std::erase_if(chosen, [&](const Allocation *allocation) {
        if (!amount.fitsIn(free - allocation->amount))
            return false;
        free -= allocation->amount;
        return true;
    });
    Victims result{ candidate.worker, {}, 0 };
    for (const Allocation *allocation : chosen) {
        result.attempts.push_back(allocation->launch.attempt);
        result.cost += costOf(*allocation, worker.capacity);
    }
    return result;
}

std::optional<WorkerName> Preemption::preemptTasks(const Resources &amount)
{
    std::optional<Victims> best;
    const auto sample =
        m_state.ledger.index().randomSample(workersExamined, m_state.context.random);
    m_state.context.output->count("scheduling.candidates", sample.size());
    for (const Candidate *candidate : sample) {
        auto victims = selectVictims(*candidate, amount);
        if (victims && (!best || victims->cost < best->cost))
            best = std::move(victims);
    }
    if (!best)
        return std::nullopt;
    for (const auto &attempt : best->attempts) {
        Allocation &allocation = *m_state.ledger.allocation(attempt);
        allocation.checkpointFirst = true;
        m_state.ledger.requestStop(allocation);
        m_state.stop(allocation, effect::StopTask::Mode::Checkpoint);
        m_state.context.output->count("scheduling.displaced");
    }
    return best->worker;
}

void Preemption::stopResult(Allocation &allocation)
{
    allocation.checkpointFirst = false;
    m_state.stop(allocation, effect::StopTask::Mode::Stop);
}

} // namespace cowsliprock::scheduling
