#include "scheduler.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Events within this delay are coalesced into one pass.
constexpr std::chrono::milliseconds passDelay{ 5 };
/// Minimum pause between two passes, as a multiple of the duration of the last one.
constexpr int passPauseFactor = 4;
/// Minimum interval between two log entries on the load of the shard.
constexpr std::chrono::seconds loadLogInterval{ 1 };
/// Waiting work is evaluated again after this time even without an event.
constexpr std::chrono::milliseconds delayedPassInterval{ 150 };
/// A pass ends after this many steps that could not be placed, which bounds its cost for a long
/// backlog.
constexpr int maxFailuresPerPass = 80;
/// Maximum age of the list of usable workers between passes.
constexpr std::chrono::milliseconds usableWorkersMaxAge{ 100 };
/// Size of the range of run numbers available to each owner.
constexpr std::uint64_t runsPerOwner = 1000;

} // namespace

void Scheduler::requestPass()
{
    if (std::exchange(m_passRequested, true))
        return;
    // Limits the share of CPU time that passes over a long backlog can take.
    const Duration delay = std::max<Duration>(passDelay, passPauseFactor * m_lastPassDuration);
    m_ports.timers.after(delay, [this, alive = m_alive, due = now() + delay] {
        if (!*alive)
            return;
        m_passRequested = false;
        m_passMeter.begin(due, now());
        runPass();
        m_lastPassDuration = m_passMeter.end(now());
    });
}

void Scheduler::requestPassAfter(Duration delay)
{
    m_ports.timers.after(delay, [this, alive = m_alive] {
        if (*alive)
            requestPass();
    });
}

void Scheduler::runPass()
{
    if (!m_loaded || !m_configuration)
        return;
    if (!m_ports.lease.exclusive()) {
        requestDelayedPass();
        return;
    }
    refreshUsableWorkers();
    m_reservations = {};
    m_slowAdviceSaturated = false;
    m_windowFull = false;
    m_highestBlockedRank.reset();
    m_quotas.releaseReservations();
    renewGangReservations();
    int failures = 0;
    bool quotaReached = false;
    auto waiting = waitingSteps(m_activeJobs);
    StepOrder order(*this, waiting);
    while (const auto *next = order.next()) {
        const auto &view = *next;
        const auto placement = tryPlaceStep(view);
        if (placement == Placement::WaitsForQuota) {
            quotaReached = true;
            if (view.spec->gang && view.band == bandOnTime)
                reserveQuotaForGang(view);
        }
        if (placement != Placement::WaitsForRoom)
            continue;
        recordBlockedStep(view);
        if (m_windowFull)
            break;
        if (view.spec->gang)
            reserveForGang(view);
        if (++failures >= maxFailuresPerPass)
            break;
    }
    updateExcessDelays(waiting);
    logLoad(waiting);
    if (failures > 0 || m_windowFull || quotaReached)
        requestDelayedPass();
}

Scheduler::Placement Scheduler::tryPlaceStep(const StepView &view)
{
    // The step cannot be placed before the first advice has arrived.
    if (view.step->advice.awaitsFirstAnswer())
        return Placement::Complete;
    if (reachesQuota(view))
        return Placement::WaitsForQuota;
    const auto demand = demandOf(view);
    // If no worker has room, placement is skipped; gangs still request advice.
    const bool anyRoom = heldBy(*view.spec).fitsIn(m_maxFree);
    const auto placement = !anyRoom ? Placement::WaitsForRoom
        : view.spec->gang           ? placeGang(view, demand)
                                    : placeTasks(view, demand);
    if (placement == Placement::WaitsForRoom && !m_windowFull && (anyRoom || view.spec->gang))
        requestAdvice(view, demand);
    return placement;
}

StepDemand Scheduler::demandOf(const StepView &view) const
{
    const auto speed = speedPreference(view);
    return { view.spec,
             view.task(0),
             view.job->record.queue.service,
             view.job->record.queue.priority,
             &m_reservations,
             m_settings.policy.fit,
             speed,
             fastHeadroom(view, speed),
             expectedEnd(*view.spec),
             view.job->excess };
}

void Scheduler::recordBlockedStep(const StepView &view)
{
    // A step that awaits its first advice could not use any room yet.
    if (view.step->advice.awaitsFirstAnswer())
        return;
    m_highestBlockedRank = std::min(m_highestBlockedRank.value_or(view.rank()), view.rank());
}

void Scheduler::scheduleJobEvaluation(const std::string &job)
{
    m_changedJobs.insert(job);
    if (m_changedJobs.size() > 1)
        return;
    m_ports.timers.after(Duration::zero(), [this, alive = m_alive] {
        if (*alive)
            evaluateChangedJobs();
    });
}

void Scheduler::evaluateChangedJobs()
{
    ActiveJobs changed(MoreUrgent{ m_settings.policy.order });
    for (const auto &id : std::exchange(m_changedJobs, {})) {
        if (Job *job = m_jobs.find(id); job != nullptr && job->active())
            changed.insert(job);
    }
    if (!m_loaded || !m_configuration)
        return;
    if (!m_ports.lease.exclusive()) {
        requestPass();
        return;
    }
    if (now() - m_usableRefreshedAt > usableWorkersMaxAge)
        refreshUsableWorkers();
    m_slowAdviceSaturated = false;
    bool unplaced = false;
    auto waiting = waitingSteps(changed);
    StepOrder order(*this, waiting);
    while (const auto *next = order.next()) {
        const auto &view = *next;
        const bool immediate = !isOutranked(view) && !m_windowFull;
        const auto placement = immediate ? tryPlaceStep(view) : Placement::WaitsForRoom;
        unplaced = placement == Placement::WaitsForRoom || unplaced;
        if (placement == Placement::WaitsForQuota)
            requestDelayedPass();
    }
    if (unplaced)
        requestPass();
}

bool Scheduler::isOutranked(const StepView &view) const
{
    if (!m_highestBlockedRank)
        return false;
    // Waiting gangs have capacity reserved, possibly including this one, so a gang also yields to
    // steps of equal rank.
    return view.spec->gang ? *m_highestBlockedRank <= view.rank()
                           : *m_highestBlockedRank < view.rank();
}

void Scheduler::logLoad(const std::vector<StepView> &waiting)
{
    const auto current = now();
    if (current - m_loadLoggedAt < loadLogInterval)
        return;
    m_loadLoggedAt = current;
    logCustomers(waiting);
    Resources free;
    Resources capacity;
    for (const Worker *worker : m_usableWorkers) {
        free += worker->free();
        capacity += worker->entry.capacity;
    }
    std::array<std::uint64_t, bandCount> steps{};
    std::uint64_t requestPending = 0;
    for (const auto &view : waiting) {
        ++steps.at(static_cast<std::size_t>(view.band));
        requestPending += view.step->advice.requestPending ? 1 : 0;
    }
    const auto passes = m_passMeter.take();
    const auto workersBySpeed = countBySpeed();
    m_ports.log.write(current, "shard.load",
                      { { "workers", static_cast<std::uint64_t>(m_usableWorkers.size()) },
                        { "cpuMillis", capacity.cpuMillis },
                        { "freeCpuMillis", free.cpuMillis },
                        { "memoryMb", capacity.memoryMb },
                        { "freeMemoryMb", free.memoryMb },
                        { "keptWorkers", static_cast<std::uint64_t>(m_reservations.workers()) },
                        { "startsInFlight", m_sender.window().inFlight() },
                        { "startWindow", m_sender.window().size() },
                        { "answerMs", toMilliseconds(m_answerTimes.mean()) },
                        { "passes", passes.passes },
                        { "passMs", toMilliseconds(passes.totalTime) },
                        { "passLateMs", toMilliseconds(passes.maxDelay) },
                        { "askingSteps", requestPending },
                        { "waitingSteps", steps[bandOnTime] },
                        { "lateSteps", steps[bandLate] },
                        { "uselessSteps", steps[bandExpired] },
                        { "speedSpread", m_speeds.spread() },
                        { "slowWorkers", workersBySpeed.slow },
                        { "fastWorkers", workersBySpeed.fast } });
}

void Scheduler::requestDelayedPass()
{
    if (std::exchange(m_delayedPassRequested, true))
        return;
    m_ports.timers.after(delayedPassInterval, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_delayedPassRequested = false;
        requestPass();
    });
}

std::vector<Scheduler::StepView> Scheduler::waitingSteps(const ActiveJobs &jobs) const
{
    std::array<std::vector<StepView>, classCount> classes;
    const auto current = now();
    for (Job *job : jobs) {
        for (auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                if (const auto view = waitingStep(*job, occurrence, index, current))
                    classes.at(static_cast<std::size_t>(view->serviceClass())).push_back(*view);
            }
        }
    }
    countInspections(jobs.size());
    // The jobs are already ordered by urgency.
    std::vector<StepView> views;
    for (auto &members : classes) {
        if (views.empty())
            views = std::move(members);
        else
            views.insert(views.end(), members.begin(), members.end());
    }
    return views;
}

std::optional<Scheduler::StepView> Scheduler::waitingStep(Job &job, Occurrence &occurrence,
                                                          std::uint32_t index,
                                                          TimePoint current) const
{
    Step &step = occurrence.steps[index];
    if (!step.ready || step.waitingCount + step.copiesRequested == 0)
        return std::nullopt;
    StepView view{ &job, &occurrence, &step, &job.spec(index), index };
    view.startableCount = view.startableTasks(current);
    if (view.startableCount == 0)
        return std::nullopt;
    view.band = bandOf(view, current);
    return view;
}

std::optional<Scheduler::StepView> Scheduler::waitingStep(const TaskId &step)
{
    Job *job = m_jobs.find(step.job);
    if (job == nullptr || !job->active())
        return std::nullopt;
    const auto occurrence = job->occurrences.find(step.occurrence);
    if (occurrence == job->occurrences.end())
        return std::nullopt;
    return waitingStep(*job, occurrence->second, step.step, now());
}

int Scheduler::bandOf(const StepView &view, TimePoint current) const
{
    if (view.spec->longRunning || std::holds_alternative<ArrivalOrder>(m_settings.policy.order))
        return bandOnTime;
    const Duration remaining = expectedTime(remainingPath(view));
    if (current + remaining <= view.job->objective(*view.occurrence))
        return bandOnTime;
    return current + remaining <= view.job->latestUsefulEnd(*view.occurrence) ? bandLate
                                                                              : bandExpired;
}

Duration Scheduler::remainingPath(const StepView &view)
{
    return view.job->criticalPath - view.job->criticalPathThrough.at(view.index)
        + view.spec->estimate;
}

std::vector<Worker *> Scheduler::candidates(const StepView &view, const StepDemand &demand,
                                            TicketFilter filter)
{
    std::vector<Worker *> result;
    const auto current = now();
    const auto consider = [&](Worker &worker) {
        if (usable(worker, current) && isCompatible(worker, demand))
            result.push_back(&worker);
    };
    if (!view.job->record.queue.advice) {
        countInspections(m_usableWorkers.size());
        for (Worker *worker : m_usableWorkers)
            consider(*worker);
        return result;
    }
    countInspections(view.step->advice.allowed.size());
    for (const auto &[id, ticket] : view.step->advice.allowed) {
        if (filter == TicketFilter::Usable && !ticket.usableAt(current))
            continue;
        if (Worker *worker = findIncarnation(id, ticket.born))
            consider(*worker);
    }
    return result;
}

void Scheduler::countInspections(std::size_t count) const
{
    m_ports.metrics.count("scheduler.looks", count);
}

void Scheduler::refreshUsableWorkers()
{
    const auto current = now();
    countInspections(m_workers.size());
    updateUnreportedUsage();
    m_usableRefreshedAt = current;
    m_usableWorkers.clear();
    m_maxFree = {};
    m_usableCapacity = {};
    std::vector<std::pair<std::int64_t, Worker *>> byRoom;
    byRoom.reserve(m_workers.size());
    for (auto &[id, worker] : m_workers) {
        if (!usable(worker, current))
            continue;
        const auto free = worker.free();
        m_usableCapacity += worker.entry.capacity;
        byRoom.emplace_back(free.cpuMillis, &worker);
        m_maxFree.cpuMillis = std::max(m_maxFree.cpuMillis, free.cpuMillis);
        m_maxFree.memoryMb = std::max(m_maxFree.memoryMb, free.memoryMb);
        m_maxFree.accelerators = std::max(m_maxFree.accelerators, free.accelerators);
    }
    std::stable_sort(byRoom.begin(), byRoom.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    for (const auto &[room, worker] : byRoom)
        m_usableWorkers.push_back(worker);
    sortUsableBySpeed();
}

Scheduler::Placement Scheduler::placeTasks(const StepView &view, const StepDemand &demand)
{
    const auto current = now();
    recordUrgentDemand(demand);
    const auto workers = candidates(view, demand, TicketFilter::Usable);
    const std::uint64_t firstRun = m_settings.generation * runsPerOwner;
    std::uint32_t started = 0;
    auto result = Placement::Complete;
    for (std::uint32_t index = 0; index < view.step->tasks.size(); ++index) {
        Task &task = view.step->tasks[index];
        if (!view.startable(task, current))
            continue;
        if (reachesQuota(view)) {
            result = Placement::WaitsForQuota;
            break;
        }
        Worker *worker = chooseForTask(workers, demand, task);
        if (worker == nullptr) {
            result = Placement::WaitsForRoom;
            break;
        }
        if (!m_sender.canStart()) {
            m_windowFull = true;
            result = Placement::WaitsForRoom;
            break;
        }
        if (!ensureStartRecorded(*view.job))
            return Placement::Complete;
        const auto number = std::max<std::uint64_t>(task.lastRun, firstRun) + 1;
        startTask(view, index, *worker, static_cast<std::uint32_t>(number));
        ++started;
    }
    if (started > 0) {
        m_ports.log.write(current, "step.started",
                          { { "step", demand.step.stepText() },
                            { "tasks", started },
                            { "band", view.band },
                            { "candidates", static_cast<std::uint64_t>(workers.size()) } });
    }
    return result;
}

Scheduler::Placement Scheduler::placeGang(const StepView &view, const StepDemand &demand)
{
    const auto count = static_cast<std::uint32_t>(view.step->tasks.size());
    // A gang can start only after its previous run has ended on all workers.
    if (view.startableTasks(now()) != count)
        return Placement::Complete;
    const auto workers = candidates(view, demand, TicketFilter::Usable);
    const auto chosen = chooseForGang(workers, demand, count);
    if (chosen.empty())
        return Placement::WaitsForRoom;
    if (!m_sender.canStart()) {
        m_windowFull = true;
        return Placement::WaitsForRoom;
    }
    if (!ensureStartRecorded(*view.job))
        return Placement::Complete;
    std::uint64_t last = m_settings.generation * runsPerOwner;
    for (const auto &task : view.step->tasks)
        last = std::max<std::uint64_t>(last, task.lastRun);
    m_reservations.release(demand.step);
    for (std::uint32_t index = 0; index < count; ++index)
        startTask(view, index, *chosen[index], static_cast<std::uint32_t>(last + 1));
    m_ports.log.write(now(), "gang.started",
                      { { "step", demand.step.stepText() },
                        { "tasks", count },
                        { "run", last + 1 },
                        { "band", view.band },
                        { "candidates", static_cast<std::uint64_t>(workers.size()) } });
    return Placement::Complete;
}

} // namespace cowsliprock::cell
