#include "workertable.h"

#include <algorithm>

namespace cowsliprock::cell {

namespace {

/// Consecutive failures of different jobs after which a worker is quarantined.
constexpr std::uint32_t failuresBeforeQuarantine = 2;
constexpr std::chrono::seconds firstQuarantine{ 4 };
constexpr std::uint32_t maxQuarantineDoublings = 4;
/// An entry that discovery loses during an outage of the store reappears within this time.
constexpr std::chrono::milliseconds unlistedGrace{ 2200 };

} // namespace

std::chrono::milliseconds Worker::clockAt(TimePoint now) const
{
    return clock + std::chrono::duration_cast<std::chrono::milliseconds>(now - clockReadAt);
}

WorkerTarget targetOf(const Worker &worker)
{
    return { worker.entry.id, worker.entry.address, worker.entry.dataCentre };
}

bool mayStillArrive(const Run &run, TimePoint requestedAt) noexcept
{
    return run.startPending || run.outcomeUnknown || !run.listed || run.ordered >= requestedAt;
}

Resources heldBy(const StepSpec &step) noexcept
{
    Resources amount = step.amount;
    if (step.bestEffort)
        amount.cpuMillis = 0;
    return amount;
}

bool usable(const Worker &worker, TimePoint now)
{
    return worker.rosterState == RosterState::Open && worker.fenced && worker.reachable
        && !worker.suspect && !worker.entry.draining && worker.runsOfUnknownSize == 0
        && worker.health.quarantinedUntil <= now && worker.health.slowUntil <= now
        && (!worker.unlistedSince || now - *worker.unlistedSince < unlistedGrace);
}

Run &addRun(Worker &worker, Run run)
{
    worker.held += run.held;
    worker.runsOfUnknownSize += run.sizeUnknown ? 1 : 0;
    const RunKey key(run.task, run.number);
    return worker.runs.insert_or_assign(key, std::move(run)).first->second;
}

bool removeRun(Worker &worker, const RunKey &key)
{
    const auto entry = worker.runs.find(key);
    if (entry == worker.runs.end())
        return false;
    worker.held -= entry->second.held;
    worker.runsOfUnknownSize -= entry->second.sizeUnknown ? 1 : 0;
    worker.runs.erase(entry);
    return true;
}

void recordSuccess(Worker &worker) noexcept
{
    worker.health.consecutiveFailures = 0;
    worker.health.lastFailedJob.clear();
    worker.health.quarantines = 0;
}

bool recordFailure(Worker &worker, const std::string &job, TimePoint now)
{
    auto &health = worker.health;
    // Repeated failures of one job indicate a fault of the job rather than of the worker.
    if (health.lastFailedJob == job)
        return false;
    health.lastFailedJob = job;
    if (++health.consecutiveFailures < failuresBeforeQuarantine)
        return false;
    const auto doublings = std::min(health.quarantines, maxQuarantineDoublings);
    quarantine(worker, now, firstQuarantine * (1U << doublings));
    ++health.quarantines;
    return true;
}

void quarantine(Worker &worker, TimePoint now, Duration time)
{
    worker.health.quarantinedUntil = std::max(worker.health.quarantinedUntil, now + time);
}

} // namespace cowsliprock::cell
