#include "scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// A step for which nobody can be asked is not looked at again for this long.
constexpr std::chrono::milliseconds adviceIdlePause{ 60 };
constexpr std::chrono::milliseconds adviceRetryPause{ 150 };

} // namespace

AdviceNeed Scheduler::adviceNeed(const StepView &view) const
{
    AdviceNeed need;
    need.gang = view.spec->gang;
    need.tasks = view.startableTasks(now());
    return need;
}

AdviceCandidates Scheduler::adviceCandidates(const StepView &view, const StepDemand &demand,
                                             const AdviceNeed &need)
{
    const auto current = now();
    const auto &advice = view.step->advice;
    AdviceCandidates result;
    result.unknown = unknownWorkers(view, demand, need);
    result.allowed = candidates(view, demand, Tickets::Any);
    for (Worker *worker : result.allowed) {
        if (roomFor(*worker, demand) > 0
            && !advice.allowed.at(worker->entry.id).usableAt(current)) {
            result.stale.push_back(worker);
        }
    }
    return result;
}

std::vector<Worker *> Scheduler::unknownWorkers(const StepView &view, const StepDemand &demand,
                                                const AdviceNeed &need) const
{
    const auto wanted = mostToAskAbout(need);
    const auto &advice = view.step->advice;
    const auto isUnknown = [&advice](const Worker &worker) {
        const auto denied = advice.denied.find(worker.entry.id);
        if (denied != advice.denied.end() && denied->second == worker.born)
            return false;
        const auto ticket = advice.allowed.find(worker.entry.id);
        return ticket == advice.allowed.end() || ticket->second.born != worker.born;
    };
    std::vector<Worker *> open;
    std::vector<Worker *> kept;
    std::size_t looks = 0;
    // Those with most room come first, so that the first ones suffice.
    for (Worker *worker : m_usable) {
        if (open.size() == wanted)
            break;
        ++looks;
        const bool room = need.gang || roomFor(*worker, demand) > 0;
        if (!room || !suits(*worker, demand) || !isUnknown(*worker))
            continue;
        (m_reservations.holds(worker->entry.id) ? kept : open).push_back(worker);
    }
    noteLooks(looks);
    open.insert(open.end(), kept.begin(), kept.end());
    return open;
}

bool Scheduler::mayAsk(const AdviceSettings &settings, std::uint32_t tasks)
{
    // Putting the question together is saved if it cannot be asked; it names a worker a task or
    // more.
    const Duration expected = settings.decision + settings.perWorker * tasks;
    if (expected <= slowQuestion)
        return true;
    // Found out once in a pass: the service is the same for all steps.
    m_slowAdviceFull = m_slowAdviceFull || !m_ports.advice.accepts(expected);
    return !m_slowAdviceFull;
}

void Scheduler::askAdvice(const StepView &view, const StepDemand &demand)
{
    const auto &settings = view.job->record.queue.advice;
    auto &advice = view.step->advice;
    if (!settings || advice.nextAsk > now())
        return;
    if (!advice.asking) {
        const auto need = adviceNeed(view);
        if (!mayAsk(*settings, need.tasks))
            return;
        const auto names = chooseToAskAbout(need, demand, adviceCandidates(view, demand, need));
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
            m_reservations.reserve(id, demand.priority);
        return;
    }
    auto open = view.startableTasks(now());
    for (const auto &id : advice.asked) {
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end())
            continue;
        const auto tasks = std::min(open, roomFor(worker->second, demand));
        m_reservations.pledge(id, heldBy(*view.spec) * tasks);
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
    // What is kept for a renewal of tickets is set free by the next pass.
    const bool roomKept = !std::exchange(step->advice.asked, {}).empty();
    if (roomKept || !answer.has_value())
        requestPass();
    else
        lookSoon(stepId.job);
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
