#include "scheduler.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Events that come close together cause one pass.
constexpr std::chrono::milliseconds passDelay{ 5 };
/// Rest between two passes, in durations of the last one.
constexpr int passRest = 4;
/// The load of the shard is logged at most this often.
constexpr std::chrono::seconds loadLogInterval{ 1 };
/// Waiting work is looked at again after this time, also without an event.
constexpr std::chrono::milliseconds laterPassDelay{ 150 };
/// Steps without room that a pass looks at, so that its cost does not grow with the backlog.
constexpr int maxFailuresPerPass = 80;
/// Gangs for which room is kept at a time.
constexpr int maxReservedGangs = 3;
/// The list of usable workers serves this long between passes.
constexpr std::chrono::milliseconds usableKept{ 100 };
/// Run numbers that fit between the first runs of two owners.
constexpr std::uint64_t runsPerOwner = 1000;

constexpr int bandOnTime = 0;
constexpr int bandLate = 1;
constexpr int bandUseless = 2;
constexpr std::size_t bandCount = 3;

} // namespace

void Scheduler::requestPass()
{
    if (std::exchange(m_passRequested, true))
        return;
    // A pass over a long backlog must not take the whole processor.
    const Duration delay = std::max<Duration>(passDelay, passRest * m_lastPass);
    m_ports.timers.after(delay, [this, alive = m_alive, due = now() + delay] {
        if (!*alive)
            return;
        m_passRequested = false;
        m_passMeter.begin(due, now());
        pass();
        m_lastPass = m_passMeter.end(now());
    });
}

void Scheduler::pass()
{
    if (!m_loaded || !m_configuration)
        return;
    findUsableWorkers();
    m_reservations = {};
    m_slowAdviceFull = false;
    m_windowFull = false;
    m_firstWaiting.reset();
    int failures = 0;
    int reservedGangs = 0;
    const auto waiting = waitingSteps(m_activeJobs);
    for (const auto &view : waiting) {
        if (tryStep(view))
            continue;
        noteWaiting(view);
        if (m_windowFull)
            break;
        if (view.spec->gang && view.band == bandOnTime && reservedGangs < maxReservedGangs) {
            reserveFor(view);
            ++reservedGangs;
        }
        if (++failures >= maxFailuresPerPass)
            break;
    }
    logLoad(waiting);
    if (failures > 0 || m_windowFull)
        requestLaterPass();
}

bool Scheduler::tryStep(const StepView &view)
{
    // Nothing can be done before the first answer.
    if (view.step->advice.awaitsFirstAnswer())
        return true;
    const auto demand = demandOf(view);
    // Nobody has room: only what is needed to ask for advice is looked at.
    const bool anyRoom = heldBy(*view.spec).fitsIn(m_mostFree);
    const bool placed = !anyRoom ? false
        : view.spec->gang        ? placeGang(view, demand)
                                 : placeTasks(view, demand);
    if (!placed && !m_windowFull && (anyRoom || view.spec->gang))
        askAdvice(view, demand);
    return placed;
}

StepDemand Scheduler::demandOf(const StepView &view) const
{
    return { view.spec,
             view.task(0),
             view.job->record.queue.service,
             view.job->record.queue.priority,
             &m_reservations,
             m_settings.policy.fit };
}

void Scheduler::noteWaiting(const StepView &view)
{
    // Without an answer yet it could use no room.
    if (view.step->advice.awaitsFirstAnswer())
        return;
    m_firstWaiting = std::min(m_firstWaiting.value_or(view.rank()), view.rank());
}

void Scheduler::lookSoon(const std::string &job)
{
    m_changedJobs.insert(job);
    if (m_changedJobs.size() > 1)
        return;
    m_ports.timers.after(Duration::zero(), [this, alive = m_alive] {
        if (*alive)
            lookAtChanged();
    });
}

void Scheduler::lookAtChanged()
{
    ActiveJobs changed(MoreUrgent{ m_settings.policy.order });
    for (const auto &id : std::exchange(m_changedJobs, {})) {
        if (Job *job = m_jobs.find(id); job != nullptr && job->active())
            changed.insert(job);
    }
    if (!m_loaded || !m_configuration)
        return;
    if (now() - m_usableFound > usableKept)
        findUsableWorkers();
    m_slowAdviceFull = false;
    bool left = false;
    for (const auto &view : waitingSteps(changed)) {
        const bool atOnce = !mustWait(view) && !m_windowFull;
        left = !(atOnce && tryStep(view)) || left;
    }
    if (left)
        requestPass();
}

bool Scheduler::mustWait(const StepView &view) const
{
    if (!m_firstWaiting)
        return false;
    // Room is kept for gangs that wait, also for this one if it is among them.
    return view.spec->gang ? *m_firstWaiting <= view.rank() : *m_firstWaiting < view.rank();
}

void Scheduler::logLoad(const std::vector<StepView> &waiting)
{
    const auto current = now();
    if (current - m_loadLogged < loadLogInterval)
        return;
    m_loadLogged = current;
    Resources free;
    Resources capacity;
    for (const Worker *worker : m_usable) {
        free += worker->free();
        capacity += worker->entry.capacity;
    }
    std::array<std::uint64_t, bandCount> steps{};
    std::uint64_t asking = 0;
    for (const auto &view : waiting) {
        ++steps.at(static_cast<std::size_t>(view.band));
        asking += view.step->advice.asking ? 1 : 0;
    }
    const auto passes = m_passMeter.take();
    m_ports.log.write(current, "shard.load",
                      { { "workers", static_cast<std::uint64_t>(m_usable.size()) },
                        { "cpuMillis", capacity.cpuMillis },
                        { "freeCpuMillis", free.cpuMillis },
                        { "memoryMb", capacity.memoryMb },
                        { "freeMemoryMb", free.memoryMb },
                        { "keptWorkers", static_cast<std::uint64_t>(m_reservations.workers()) },
                        { "startsInFlight", m_sender.window().inFlight() },
                        { "startWindow", m_sender.window().size() },
                        { "answerMs", toMilliseconds(m_answerTimes.mean()) },
                        { "passes", passes.passes },
                        { "passMs", toMilliseconds(passes.time) },
                        { "passLateMs", toMilliseconds(passes.latest) },
                        { "askingSteps", asking },
                        { "waitingSteps", steps[bandOnTime] },
                        { "lateSteps", steps[bandLate] },
                        { "uselessSteps", steps[bandUseless] } });
}

void Scheduler::requestLaterPass()
{
    if (std::exchange(m_laterPassRequested, true))
        return;
    m_ports.timers.after(laterPassDelay, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_laterPassRequested = false;
        requestPass();
    });
}

std::vector<Scheduler::StepView> Scheduler::waitingSteps(const ActiveJobs &jobs) const
{
    std::array<std::vector<StepView>, bandCount> bands;
    const auto current = now();
    for (Job *job : jobs) {
        for (auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                Step &step = occurrence.steps[index];
                if (!step.ready || step.waitingCount + step.copiesWanted == 0)
                    continue;
                StepView view{ job, &occurrence, &step, &job->spec(index), index, 0 };
                if (view.startableTasks(current) == 0)
                    continue;
                view.band = bandOf(view, current);
                bands.at(static_cast<std::size_t>(view.band)).push_back(view);
            }
        }
    }
    noteLooks(jobs.size());
    // The jobs are in the order of their urgency already.
    auto views = std::move(bands[bandOnTime]);
    for (const int band : { bandLate, bandUseless })
        views.insert(views.end(), bands.at(static_cast<std::size_t>(band)).begin(),
                     bands.at(static_cast<std::size_t>(band)).end());
    return views;
}

int Scheduler::bandOf(const StepView &view, TimePoint current) const
{
    if (view.spec->longRunning || std::holds_alternative<ArrivalOrder>(m_settings.policy.order))
        return bandOnTime;
    const Duration rest =
        view.job->chain - view.job->chainBefore.at(view.index) + view.spec->estimate;
    if (current + rest <= view.job->objective(*view.occurrence))
        return bandOnTime;
    return current + rest <= view.job->lastUseful(*view.occurrence) ? bandLate : bandUseless;
}

std::vector<Worker *> Scheduler::candidates(const StepView &view, const StepDemand &demand,
                                            Tickets tickets)
{
    std::vector<Worker *> result;
    const auto current = now();
    const auto consider = [&](Worker &worker) {
        if (usable(worker, current) && suits(worker, demand)
            && !m_reservations.blocks(worker.entry.id, demand.priority))
            result.push_back(&worker);
    };
    if (!view.job->record.queue.advice) {
        noteLooks(m_usable.size());
        for (Worker *worker : m_usable)
            consider(*worker);
        return result;
    }
    noteLooks(view.step->advice.allowed.size());
    for (const auto &[id, ticket] : view.step->advice.allowed) {
        if (tickets == Tickets::Usable && !ticket.usableAt(current))
            continue;
        if (Worker *worker = findLife(id, ticket.born))
            consider(*worker);
    }
    return result;
}

void Scheduler::noteLooks(std::size_t count) const
{
    m_ports.metrics.count("scheduler.looks", count);
}

void Scheduler::findUsableWorkers()
{
    const auto current = now();
    noteLooks(m_workers.size());
    m_usableFound = current;
    m_usable.clear();
    m_mostFree = {};
    std::vector<std::pair<std::int64_t, Worker *>> byRoom;
    byRoom.reserve(m_workers.size());
    for (auto &[id, worker] : m_workers) {
        if (!usable(worker, current))
            continue;
        const auto free = worker.free();
        byRoom.emplace_back(free.cpuMillis, &worker);
        m_mostFree.cpuMillis = std::max(m_mostFree.cpuMillis, free.cpuMillis);
        m_mostFree.memoryMb = std::max(m_mostFree.memoryMb, free.memoryMb);
        m_mostFree.accelerators = std::max(m_mostFree.accelerators, free.accelerators);
    }
    std::stable_sort(byRoom.begin(), byRoom.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    for (const auto &[room, worker] : byRoom)
        m_usable.push_back(worker);
}

bool Scheduler::placeTasks(const StepView &view, const StepDemand &demand)
{
    const auto current = now();
    const auto workers = candidates(view, demand, Tickets::Usable);
    const std::uint64_t firstRun = m_settings.generation * runsPerOwner;
    std::uint32_t started = 0;
    bool all = true;
    for (std::uint32_t index = 0; index < view.step->tasks.size(); ++index) {
        Task &task = view.step->tasks[index];
        if (!view.startable(task, current))
            continue;
        Worker *worker = chooseForTask(workers, demand, task);
        if (worker == nullptr) {
            all = false;
            break;
        }
        if (!m_sender.mayStart()) {
            m_windowFull = true;
            all = false;
            break;
        }
        if (!mayStart(*view.job))
            return true;
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
    return all;
}

bool Scheduler::placeGang(const StepView &view, const StepDemand &demand)
{
    const auto count = static_cast<std::uint32_t>(view.step->tasks.size());
    // A gang whose last run has not ended everywhere waits for that.
    if (view.startableTasks(now()) != count)
        return true;
    const auto workers = candidates(view, demand, Tickets::Usable);
    const auto chosen = chooseForGang(workers, demand, count);
    if (chosen.empty())
        return false;
    if (!m_sender.mayStart()) {
        m_windowFull = true;
        return false;
    }
    if (!mayStart(*view.job))
        return true;
    std::uint64_t last = m_settings.generation * runsPerOwner;
    for (const auto &task : view.step->tasks)
        last = std::max<std::uint64_t>(last, task.lastRun);
    for (std::uint32_t index = 0; index < count; ++index)
        startTask(view, index, *chosen[index], static_cast<std::uint32_t>(last + 1));
    m_ports.log.write(now(), "gang.started",
                      { { "step", demand.step.stepText() },
                        { "tasks", count },
                        { "run", last + 1 },
                        { "band", view.band },
                        { "candidates", static_cast<std::uint64_t>(workers.size()) } });
    return true;
}

void Scheduler::reserveFor(const StepView &view)
{
    const auto demand = demandOf(view);
    const auto workers = candidates(view, demand, Tickets::Any);
    const auto count = static_cast<std::uint32_t>(view.step->tasks.size());
    for (const Worker *worker : chooseToReserve(workers, demand, count))
        m_reservations.reserve(worker->entry.id, demand.priority);
}

} // namespace cowsliprock::cell
