#include "scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// A step without workers to request advice about is not evaluated again for this long.
constexpr std::chrono::milliseconds adviceIdlePause{ 60 };
constexpr std::chrono::milliseconds adviceRetryPause{ 150 };

} // namespace

AdviceDemand Scheduler::adviceNeed(const StepView &view) const
{
    AdviceDemand need;
    need.gang = view.spec->gang;
    need.tasks = std::min(view.startableTasks(now()), quotaSlots(view));
    return need;
}

AdviceCandidates Scheduler::adviceCandidates(const StepView &view, const StepDemand &demand,
                                             const AdviceDemand &need)
{
    const auto current = now();
    const auto &advice = view.step->advice;
    AdviceCandidates result;
    result.unknown = unknownWorkers(view, demand, need);
    result.allowed = candidates(view, demand, TicketFilter::Any);
    for (Worker *worker : result.allowed) {
        if (availableSlots(*worker, demand) > 0
            && !advice.allowed.at(worker->entry.id).usableAt(current)) {
            result.stale.push_back(worker);
        }
    }
    return result;
}

std::vector<Worker *> Scheduler::unknownWorkers(const StepView &view, const StepDemand &demand,
                                                const AdviceDemand &need) const
{
    const auto wanted = maxWorkersToQuery(need);
    const auto &advice = view.step->advice;
    const auto isUnknown = [&advice](const Worker &worker) {
        const auto denied = advice.denied.find(worker.entry.id);
        if (denied != advice.denied.end() && denied->second == worker.born)
            return false;
        const auto ticket = advice.allowed.find(worker.entry.id);
        return ticket == advice.allowed.end() || ticket->second.born != worker.born;
    };
    std::vector<Worker *> unreserved;
    std::vector<Worker *> reserved;
    std::size_t inspected = 0;
    // The workers are sorted by preference, so the scan can stop at the limit.
    for (Worker *worker : usableInOrder(speedToQuery(need, demand))) {
        if (unreserved.size() == wanted)
            break;
        ++inspected;
        const bool room = need.gang || availableSlots(*worker, demand) > 0;
        if (!room || !isCompatible(*worker, demand) || !isUnknown(*worker))
            continue;
        (m_reservations.holds(worker->entry.id) ? reserved : unreserved).push_back(worker);
    }
    countInspections(inspected);
    unreserved.insert(unreserved.end(), reserved.begin(), reserved.end());
    return unreserved;
}

bool Scheduler::canRequestAdvice(const AdviceSettings &settings, std::uint32_t tasks)
{
    // Avoids assembling a request that would not be accepted. A request names at least one worker
    // per task.
    const Duration expected = settings.decision + settings.perWorker * tasks;
    if (expected <= slowRequestThreshold)
        return true;
    // Determined once per pass, since all steps share the policy service.
    m_slowAdviceSaturated = m_slowAdviceSaturated || !m_ports.advice.accepts(expected);
    return !m_slowAdviceSaturated;
}

void Scheduler::requestAdvice(const StepView &view, const StepDemand &demand)
{
    const auto &settings = view.job->record.queue.advice;
    auto &advice = view.step->advice;
    if (!settings || advice.nextRequestAt > now())
        return;
    if (!advice.requestPending) {
        const auto need = adviceNeed(view);
        if (!canRequestAdvice(*settings, need.tasks))
            return;
        const auto names = chooseWorkersToQuery(need, demand, adviceCandidates(view, demand, need));
        if (names.empty()) {
            advice.nextRequestAt = now() + adviceIdlePause;
            return;
        }
        advice.requestPending = true;
        // The start record is stored while the policy service decides.
        if (heldBy(*view.spec).fitsIn(m_maxFree))
            static_cast<void>(ensureStartRecorded(*view.job));
        // Capacity is set aside only on workers that are known to be allowed.
        std::copy_if(names.begin(), names.end(), std::back_inserter(advice.renewingWorkers),
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
                    handleAdvice(step, names, answer);
            });
    }
    if (view.spec->gang) {
        keepRoomOnRenewingWorkers(view, demand);
        return;
    }
    auto unassigned = std::min(view.startableTasks(now()), quotaSlots(view));
    for (const auto &id : advice.renewingWorkers) {
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end())
            continue;
        const auto tasks = std::min(unassigned, availableSlots(worker->second, demand));
        m_reservations.setAside(id, heldBy(*view.spec) * tasks);
        unassigned -= tasks;
    }
}

void Scheduler::handleAdvice(const TaskId &stepId, const std::vector<std::string> &queried,
                             const Result<Advice> &answer)
{
    Step *step = m_jobs.findStep(stepId);
    if (step == nullptr)
        return;
    const auto current = now();
    step->advice.requestPending = false;
    step->nextPlanAt = current;
    // Capacity set aside for a ticket renewal is released by the next pass.
    const bool roomKept = !std::exchange(step->advice.renewingWorkers, {}).empty();
    if (roomKept || !answer.has_value())
        requestPass();
    else
        scheduleJobEvaluation(stepId.job);
    if (!answer.has_value()) {
        step->advice.nextRequestAt = current + adviceRetryPause;
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
    for (const auto &id : queried) {
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
                        { "asked", static_cast<std::uint64_t>(queried.size()) },
                        { "allowed", static_cast<std::uint64_t>(answer.value().allowed.size()) } });
}

} // namespace cowsliprock::cell
