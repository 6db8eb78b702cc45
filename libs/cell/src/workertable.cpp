#include "workertable.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Consecutive failures of different jobs after which a worker is quarantined.
constexpr std::uint32_t failuresBeforeQuarantine = 2;
constexpr std::chrono::seconds firstQuarantine{ 4 };
constexpr std::uint32_t maxQuarantineDoublings = 4;
/// A worker on which a run works for this long is sound.
constexpr std::chrono::seconds soundRunTime{ 5 };
/// At most one worker in this many may be excluded for the outcomes of its runs.
constexpr std::size_t excludedWorkerDivisor = 3;
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

bool usable(const Worker &worker, TimePoint now)
{
    return worker.rosterState == RosterState::Open && worker.fenced && worker.reachable
        && worker.entryIsCurrent() && !worker.suspect && !worker.entry.draining
        && worker.runsOfUnknownSize == 0 && !worker.health.excludedAt(now)
        && worker.health.pausedUntil <= now
        && (!worker.unlistedSince || now - *worker.unlistedSince < unlistedGrace);
}

Run &addRun(Worker &worker, Run run)
{
    worker.held += run.held;
    worker.runsOfUnknownSize += run.sizeUnknown ? 1 : 0;
    const RunKey key(run.task, run.number);
    return worker.runs.insert_or_assign(key, std::move(run)).first->second;
}

std::optional<Run> removeRun(Worker &worker, const RunKey &key)
{
    auto removed = worker.runs.extract(key);
    if (removed.empty())
        return std::nullopt;
    Run run = std::move(removed.mapped());
    worker.held -= run.held;
    worker.runsOfUnknownSize -= run.sizeUnknown ? 1 : 0;
    return run;
}

bool worksLong(const Run &run, TimePoint now) noexcept
{
    return run.wasConfirmed() && now - run.confirmed >= soundRunTime;
}

void recordSuccess(Worker &worker) noexcept
{
    worker.health.consecutiveFailures = 0;
    worker.health.lastFailedJob.clear();
    worker.health.quarantines = 0;
}

void recordProgress(Worker &worker, const Run &run, TimePoint now) noexcept
{
    const auto &health = worker.health;
    // A run that was started before the last failure does not outweigh it.
    if (health.consecutiveFailures > 0 && run.ordered > health.lastFailure && worksLong(run, now))
        recordSuccess(worker);
}

bool recordFailure(Worker &worker, const FailedRun &failed, TimePoint now)
{
    auto &health = worker.health;
    // The quarantine is already due to the runs that the worker had when it began.
    if (failed.workedLong || failed.ordered < health.quarantinedSince)
        return false;
    // Repeated failures of one job indicate a fault of the job rather than of the worker.
    if (health.lastFailedJob == failed.job)
        return false;
    health.lastFailedJob = failed.job;
    health.lastFailure = now;
    return ++health.consecutiveFailures >= failuresBeforeQuarantine;
}

void quarantine(Worker &worker, TimePoint now)
{
    auto &health = worker.health;
    const auto doublings = std::min(health.quarantines, maxQuarantineDoublings);
    health.quarantinedSince = now;
    health.quarantinedUntil = now + firstQuarantine * (1U << doublings);
    ++health.quarantines;
}

void pause(Worker &worker, TimePoint now, Duration time)
{
    worker.health.pausedUntil = std::max(worker.health.pausedUntil, now + time);
}

bool mayExcludeWorker(std::size_t excluded, std::size_t workers) noexcept
{
    return (excluded + 1) * excludedWorkerDivisor <= workers;
}

} // namespace cowsliprock::cell
