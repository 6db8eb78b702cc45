#include "preemption.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

/// Workers looked at for one urgent reservation.
constexpr std::size_t workersExamined = 16;

/// Batch work is displaced before normal work; within a class the smallest amount.
double costOf(const Hold &hold, const Resources &capacity) noexcept
{
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    const double size = std::max({ share(hold.amount.cpuMillis, capacity.cpuMillis),
                                   share(hold.amount.memoryMb, capacity.memoryMb),
                                   share(hold.amount.accelerators, capacity.accelerators) });
    return size + (hold.priority == Priority::Batch ? 0.0 : 10.0);
}

} // namespace

std::vector<Hold *> Preemption::yielding(const Worker &worker)
{
    std::vector<Hold *> result;
    for (const auto &attempt : worker.attempts) {
        Hold *hold = m_state.ledger.hold(attempt);
        if (hold->state == HoldState::Running && hold->mayYield && !hold->stopWanted
            && hold->priority != Priority::Urgent)
            result.push_back(hold);
    }
    std::stable_sort(result.begin(), result.end(), [&](const Hold *left, const Hold *right) {
        return costOf(*left, worker.capacity) < costOf(*right, worker.capacity);
    });
    return result;
}

std::optional<Preemption::Victims> Preemption::cheapestOn(const Candidate &candidate,
                                                          const Resources &amount)
{
    const Worker &worker = *m_state.ledger.worker(candidate.worker);
    if (!amount.fitsIn(worker.capacity))
        return std::nullopt;
    std::vector<Hold *> chosen;
    Resources free = worker.capacity - worker.held;
    for (const auto &attempt : worker.attempts) {
        // Room that earlier urgent reservations asked for; their own amounts are held already.
        if (const Hold &hold = *m_state.ledger.hold(attempt); hold.stopWanted)
            free += hold.amount;
    }
    for (Hold *hold : yielding(worker)) {
        if (amount.fitsIn(free))
            break;
        free += hold->amount;
        chosen.push_back(hold);
    }
    if (!amount.fitsIn(free))
        return std::nullopt;
    // The last ones chosen may make earlier ones unnecessary.
    std::erase_if(chosen, [&](const Hold *hold) {
        if (!amount.fitsIn(free - hold->amount))
            return false;
        free -= hold->amount;
        return true;
    });
    Victims result{ candidate.worker, {}, 0 };
    for (const Hold *hold : chosen) {
        result.attempts.push_back(hold->launch.attempt);
        result.cost += costOf(*hold, worker.capacity);
    }
    return result;
}

std::optional<WorkerName> Preemption::displace(const Resources &amount)
{
    std::optional<Victims> best;
    const auto sample =
        m_state.ledger.index().randomSample(workersExamined, m_state.context.random);
    m_state.context.output->count("scheduling.candidates", sample.size());
    for (const Candidate *candidate : sample) {
        auto victims = cheapestOn(*candidate, amount);
        if (victims && (!best || victims->cost < best->cost))
            best = std::move(victims);
    }
    if (!best)
        return std::nullopt;
    for (const auto &attempt : best->attempts) {
        Hold &hold = *m_state.ledger.hold(attempt);
        hold.checkpointFirst = true;
        m_state.ledger.wantStop(hold);
        m_state.stop(hold, effect::StopTask::Mode::Checkpoint);
        m_state.context.output->count("scheduling.displaced");
    }
    return best->worker;
}

void Preemption::stopResult(Hold &hold)
{
    hold.checkpointFirst = false;
    m_state.stop(hold, effect::StopTask::Mode::Stop);
}

} // namespace cowsliprock::scheduling
