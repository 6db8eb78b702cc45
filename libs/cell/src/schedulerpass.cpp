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
/// A step for which nobody can be asked is not looked at again for this long.
constexpr std::chrono::milliseconds adviceIdlePause{ 60 };
/// The load of the shard is logged at most this often.
constexpr std::chrono::seconds loadLogInterval{ 1 };
/// Waiting work is looked at again after this time, also without an event.
constexpr std::chrono::milliseconds laterPassDelay{ 150 };
/// Steps without room that a pass looks at, so that its cost does not grow with the backlog.
constexpr int maxFailuresPerPass = 80;
/// Gangs for which room is kept at a time.
constexpr int maxReservedGangs = 3;
/// A ticket that expires sooner may be too old when the order arrives.
constexpr std::chrono::milliseconds ticketMargin{ 250 };
constexpr std::chrono::milliseconds adviceRetryPause{ 150 };
/// Questions that take longer wait for each other.
constexpr std::chrono::milliseconds slowAdvice{ 60 };
/// Run numbers that fit between the first runs of two owners.
constexpr std::uint64_t runsPerOwner = 1000;

constexpr int bandOnTime = 0;
constexpr int bandLate = 1;
constexpr int bandUseless = 2;
constexpr std::size_t bandCount = 3;

std::uint32_t waitingTasks(const Step &step, TimePoint now)
{
    return static_cast<std::uint32_t>(
        std::count_if(step.tasks.begin(), step.tasks.end(), [now](const Task &task) {
            return task.phase == TaskPhase::Waiting && task.notBefore <= now;
        }));
}

} // namespace

void Scheduler::requestPass()
{
    if (std::exchange(m_passRequested, true))
        return;
    // A pass over a long backlog must not take the whole processor.
    const Duration delay = std::max<Duration>(passDelay, passRest * m_lastPass);
    m_ports.timers.after(delay, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_passRequested = false;
        pass();
    });
}

void Scheduler::pass()
{
    if (!m_loaded || !m_configuration)
        return;
    const auto begun = now();
    findUsableWorkers();
    Reservations reservations;
    m_slowAdviceFull = false;
    int failures = 0;
    int reservedGangs = 0;
    const auto waiting = waitingSteps();
    for (const auto &view : waiting) {
        const StepDemand demand{ view.spec,
                                 view.task(0),
                                 view.job->record.queue.service,
                                 view.job->record.queue.priority,
                                 &reservations,
                                 m_settings.policy.fit };
        // Nothing can be done before the first answer.
        if (view.step->advice.asking && view.step->advice.allowed.empty())
            continue;
        // Nobody has room: only what is needed to ask for advice is looked at.
        const bool anyRoom = heldBy(*view.spec).fitsIn(m_mostFree);
        const bool placed = !anyRoom ? false
            : view.spec->gang        ? placeGang(view, demand, reservations)
                                     : placeTasks(view, demand, reservations);
        if (placed)
            continue;
        if (anyRoom || view.spec->gang)
            askAdvice(view, demand, reservations);
        if (view.spec->gang && view.band == bandOnTime && reservedGangs < maxReservedGangs) {
            reserveFor(view, demand, reservations);
            ++reservedGangs;
        }
        if (++failures >= maxFailuresPerPass)
            break;
    }
    logLoad(waiting, reservations);
    if (failures > 0)
        requestLaterPass();
    m_lastPass = now() - begun;
}

void Scheduler::logLoad(const std::vector<StepView> &waiting, const Reservations &reservations)
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
    m_ports.log.write(current, "shard.load",
                      { { "workers", static_cast<std::uint64_t>(m_usable.size()) },
                        { "cpuMillis", capacity.cpuMillis },
                        { "freeCpuMillis", free.cpuMillis },
                        { "memoryMb", capacity.memoryMb },
                        { "freeMemoryMb", free.memoryMb },
                        { "keptWorkers", static_cast<std::uint64_t>(reservations.workers()) },
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

std::vector<Scheduler::StepView> Scheduler::waitingSteps()
{
    std::array<std::vector<StepView>, bandCount> bands;
    const auto current = now();
    for (Job *job : m_activeJobs) {
        if (job->mayRunElsewhere)
            continue;
        for (auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                Step &step = occurrence.steps[index];
                if (!step.ready || step.waitingCount == 0 || waitingTasks(step, current) == 0)
                    continue;
                StepView view{ job, &occurrence, &step, &job->spec(index), index, 0 };
                view.band = bandOf(view, current);
                bands.at(static_cast<std::size_t>(view.band)).push_back(view);
            }
        }
    }
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
                                            const Reservations &reservations)
{
    std::vector<Worker *> result;
    const auto consider = [&](Worker &worker) {
        if (suits(worker, demand) && !reservations.blocks(worker.entry.id, demand.priority))
            result.push_back(&worker);
    };
    if (!view.job->record.queue.advice) {
        for (Worker *worker : m_usable)
            consider(*worker);
        return result;
    }
    const auto current = now();
    for (const auto &[id, ticket] : view.step->advice.allowed) {
        if (ticket.value.empty() || ticket.expires < current + ticketMargin)
            continue;
        const auto worker = m_workers.find(id);
        if (worker != m_workers.end() && ticket.born == worker->second.born
            && usable(worker->second, current)) {
            consider(worker->second);
        }
    }
    return result;
}

void Scheduler::findUsableWorkers()
{
    const auto current = now();
    m_usable.clear();
    m_mostFree = {};
    for (auto &[id, worker] : m_workers) {
        if (!usable(worker, current))
            continue;
        m_usable.push_back(&worker);
        const auto free = worker.free();
        m_mostFree.cpuMillis = std::max(m_mostFree.cpuMillis, free.cpuMillis);
        m_mostFree.memoryMb = std::max(m_mostFree.memoryMb, free.memoryMb);
        m_mostFree.accelerators = std::max(m_mostFree.accelerators, free.accelerators);
    }
}

bool Scheduler::placeTasks(const StepView &view, const StepDemand &demand,
                           const Reservations &reservations)
{
    const auto current = now();
    const auto workers = candidates(view, demand, reservations);
    const std::uint64_t firstRun = m_settings.generation * runsPerOwner;
    std::uint32_t started = 0;
    bool all = true;
    for (std::uint32_t index = 0; index < view.step->tasks.size(); ++index) {
        Task &task = view.step->tasks[index];
        if (task.phase != TaskPhase::Waiting || task.notBefore > current)
            continue;
        Worker *worker = chooseForTask(workers, demand, task);
        if (worker == nullptr) {
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

bool Scheduler::placeGang(const StepView &view, const StepDemand &demand,
                          const Reservations &reservations)
{
    const auto count = static_cast<std::uint32_t>(view.step->tasks.size());
    // A gang whose last run has not ended everywhere waits for that.
    if (waitingTasks(*view.step, now()) != count)
        return true;
    const auto workers = candidates(view, demand, reservations);
    const auto chosen = chooseForGang(workers, demand, count);
    if (chosen.empty())
        return false;
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

void Scheduler::reserveFor(const StepView &view, const StepDemand &demand,
                           Reservations &reservations)
{
    const bool advised = view.job->record.queue.advice.has_value();
    std::vector<Worker *> workers;
    for (Worker *worker : m_usable) {
        const auto &id = worker->entry.id;
        if (suits(*worker, demand) && !reservations.blocks(id, demand.priority)
            && (!advised || view.step->advice.allowed.contains(id))) {
            workers.push_back(worker);
        }
    }
    const auto count = static_cast<std::uint32_t>(view.step->tasks.size());
    for (const Worker *worker : chooseToReserve(workers, demand, count))
        reservations.reserve(worker->entry.id, demand.priority);
}

AdviceCandidates Scheduler::adviceCandidates(const StepView &view, const StepDemand &demand,
                                             const Reservations &reservations)
{
    const auto current = now();
    const auto &advice = view.step->advice;
    AdviceCandidates result;
    for (Worker *worker : m_usable) {
        const auto &id = worker->entry.id;
        if (!suits(*worker, demand))
            continue;
        const auto denied = advice.denied.find(id);
        if (denied != advice.denied.end() && denied->second == worker->born)
            continue;
        const auto ticket = advice.allowed.find(id);
        if (ticket == advice.allowed.end() || ticket->second.born != worker->born) {
            result.unknown.push_back(worker);
            continue;
        }
        if (reservations.blocks(id, demand.priority))
            continue;
        result.allowed.push_back(worker);
        if (roomFor(*worker, demand) > 0 && ticket->second.expires < current + ticketMargin)
            result.stale.push_back(worker);
    }
    return result;
}

std::vector<std::string> Scheduler::workersToAskAbout(const StepView &view,
                                                      const StepDemand &demand,
                                                      const AdviceCandidates &candidates) const
{
    const auto &advice = view.step->advice;
    const auto &queue = view.job->record.queue;
    AdviceNeed need;
    need.gang = view.spec->gang;
    need.first = advice.allowed.empty() && advice.denied.empty();
    need.tasks = waitingTasks(*view.step, now());
    need.allowedShare = m_allowedShares.of(queue.name);
    return chooseToAskAbout(need, demand, candidates);
}

bool Scheduler::mayAsk(const AdviceSettings &settings, std::uint32_t tasks)
{
    const Duration expected = settings.decision + settings.perWorker * tasks;
    if (expected <= slowAdvice)
        return true;
    // Found out once in a pass: the service is the same for all steps.
    m_slowAdviceFull = m_slowAdviceFull || !m_ports.advice.accepts(expected);
    return !m_slowAdviceFull;
}

void Scheduler::askAdvice(const StepView &view, const StepDemand &demand,
                          Reservations &reservations)
{
    const auto &settings = view.job->record.queue.advice;
    auto &advice = view.step->advice;
    if (!settings || advice.nextAsk > now())
        return;
    if (!advice.asking) {
        if (!mayAsk(*settings, waitingTasks(*view.step, now())))
            return;
        const auto names =
            workersToAskAbout(view, demand, adviceCandidates(view, demand, reservations));
        if (names.empty()) {
            advice.nextAsk = now() + adviceIdlePause;
            return;
        }
        advice.asking = true;
        // The note is stored while the policy service decides.
        if (heldBy(*view.spec).fitsIn(m_mostFree))
            static_cast<void>(mayStart(*view.job));
        // Room is kept only on workers that are known to be allowed.
        std::copy_if(names.begin(), names.end(), std::back_inserter(advice.asked),
                     [&advice](const std::string &id) { return advice.allowed.contains(id); });
        m_ports.metrics.count("advice.asked");
        AdviceRequest request;
        request.step = demand.step.stepText();
        request.workers = names;
        request.expected =
            settings->decision + settings->perWorker * static_cast<std::int64_t>(names.size());
        request.priority = demand.priority;
        m_ports.advice.advise(
            request,
            [this, alive = m_alive, step = demand.step, names](const Result<Advice> &answer) {
                if (*alive)
                    advised(step, names, answer);
            });
    }
    if (view.spec->gang) {
        for (const auto &id : advice.asked)
            reservations.reserve(id, demand.priority);
        return;
    }
    auto open = waitingTasks(*view.step, now());
    for (const auto &id : advice.asked) {
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end())
            continue;
        const auto tasks = std::min(open, roomFor(worker->second, demand));
        reservations.pledge(id, heldBy(*view.spec) * tasks);
        open -= tasks;
    }
}

void Scheduler::advised(const TaskId &stepId, const std::vector<std::string> &asked,
                        const Result<Advice> &answer)
{
    Step *step = m_jobs.findStep(stepId);
    if (step == nullptr)
        return;
    const auto current = now();
    step->advice.asking = false;
    step->advice.asked.clear();
    requestPass();
    if (!answer.has_value()) {
        step->advice.nextAsk = current + adviceRetryPause;
        m_ports.log.write(current, "advice.failed",
                          { { "step", stepId.stepText() }, { "error", answer.error().text() } });
        m_ports.timers.after(adviceRetryPause, [this, alive = m_alive] {
            if (*alive)
                requestPass();
        });
        return;
    }
    const auto lifeOf = [this](const std::string &id) {
        const auto worker = m_workers.find(id);
        return worker == m_workers.end() ? std::int64_t{ 0 } : worker->second.born;
    };
    if (const Job *job = m_jobs.find(stepId.job))
        m_allowedShares.note(job->record.queue.name, asked.size(), answer.value().allowed.size());
    for (const auto &ticket : answer.value().allowed) {
        step->advice.allowed[ticket.worker] = { ticket.value, current + answer.value().validity,
                                                lifeOf(ticket.worker) };
    }
    for (const auto &id : asked) {
        const auto &tickets = answer.value().allowed;
        const bool allowed =
            std::any_of(tickets.begin(), tickets.end(),
                        [&id](const Ticket &ticket) { return ticket.worker == id; });
        if (allowed)
            continue;
        step->advice.allowed.erase(id);
        step->advice.denied[id] = lifeOf(id);
    }
    m_ports.log.write(current, "advice.received",
                      { { "step", stepId.stepText() },
                        { "asked", static_cast<std::uint64_t>(asked.size()) },
                        { "allowed", static_cast<std::uint64_t>(answer.value().allowed.size()) } });
}

} // namespace cowsliprock::cell
