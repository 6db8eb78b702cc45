#include "gangplan.h"
#include "scheduler.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Maximum number of gangs of one priority, or more urgent ones, for which room is reserved at the
/// same time: of those that are expected to meet their objective, and of the others.
constexpr std::size_t maxReservedInTime = 3;
constexpr std::size_t maxReservedLate = 1;
/// After more delays than this, no work of the same or a lower priority passes the gang.
constexpr std::uint32_t maxDelays = 1;
/// Several gangs together have at most one part in this many of the cell reserved.
constexpr std::int64_t reservedShareDivisor = 5;
/// All workers are considered for the plan of a gang at most once in this time.
constexpr std::chrono::milliseconds planInterval{ 200 };
/// A gang that has room, but no valid tickets, keeps it for this long at a time, and none for as
/// long between.
constexpr std::chrono::milliseconds readyRoomTime{ 2000 };

} // namespace

void Scheduler::renewGangReservations()
{
    const auto reservations = std::exchange(m_gangReservations, {});
    for (const auto &reservation : reservations) {
        const auto view = waitingStep(reservation.step);
        // The quota or an earlier run, not room, is what other gangs wait for.
        if (view && view->startableCount == view->spec->count && !reachesQuota(*view))
            renew(reservation, *view);
    }
}

void Scheduler::renew(GangReservation reservation, const StepView &view)
{
    const auto demand = demandOf(view);
    auto plan = planFor(view, demand, plannedWorkers(view, demand, reservation.workers));
    const bool delayed = now() >= reservation.start;
    const bool mayMove =
        now() >= view.step->nextPlanAt && (!delayed || reservation.delays < maxDelays);
    if (!plan || mayMove) {
        auto newPlan = planOnAllWorkers(view, demand);
        if (newPlan && (!plan || newPlan->start < plan->start)) {
            plan = std::move(newPlan);
            reservation.workers = workersOf(*plan);
        }
    }
    if (!plan)
        return;
    if (delayed && reservation.delays < maxDelays) {
        ++reservation.delays;
        reservation.start = plan->start;
        logReservation("gang.delayed", reservation);
    }
    reserve(std::move(reservation), view, demand, *plan);
}

void Scheduler::reserveForGang(const StepView &view)
{
    const auto demand = demandOf(view);
    const auto isReserved =
        std::any_of(m_gangReservations.begin(), m_gangReservations.end(),
                    [&demand](const auto &other) { return sameStep(other.step, demand.step); });
    if (isReserved || view.band == bandExpired || view.startableTasks(now()) != view.spec->count
        || now() < view.step->nextPlanAt) {
        return;
    }
    const auto plan = planOnAllWorkers(view, demand);
    if (!plan) {
        m_ports.metrics.count("gangs.withoutPlan");
        return;
    }
    GangReservation reservation;
    reservation.step = demand.step;
    reservation.priority = demand.priority;
    reservation.start = plan->start;
    reservation.amount = heldBy(*view.spec) * view.spec->count;
    reservation.workers = workersOf(*plan);
    if (reserve(reservation, view, demand, *plan))
        logReservation("gang.reserved", reservation);
}

bool Scheduler::reserve(GangReservation reservation, const StepView &view, const StepDemand &demand,
                        const GangPlan &plan)
{
    reservation.late = !endsInTime(view, plan);
    reservation.excess = view.job->excess;
    const auto counts = [&reservation](const GangReservation &other) {
        return other.priority <= reservation.priority && other.late == reservation.late
            && (reservation.excess || !other.excess);
    };
    std::size_t others = 0;
    Resources sum = reservation.amount;
    for (const auto &other : m_gangReservations) {
        if (counts(other)) {
            ++others;
            sum += other.amount;
        }
    }
    const bool fits = (sum * reservedShareDivisor).fitsIn(m_usableCapacity);
    if (others >= (reservation.late ? maxReservedLate : maxReservedInTime)
        || (others > 0 && !fits)) {
        return false;
    }
    keepRoom(view, demand, plan, reservation);
    m_gangReservations.push_back(std::move(reservation));
    return true;
}

void Scheduler::logReservation(const char *event, const GangReservation &reservation)
{
    m_ports.log.write(now(), event,
                      { { "step", reservation.step.stepText() },
                        { "workers", static_cast<std::uint64_t>(reservation.workers.size()) },
                        { "inMs", toMilliseconds(reservation.start - now()) },
                        { "delays", reservation.delays } });
    m_ports.metrics.count(event);
}

bool Scheduler::endsInTime(const StepView &view, const GangPlan &plan) const
{
    if (view.spec->longRunning)
        return true;
    return plan.start + expectedTime(remainingPath(view)) <= view.job->objective(*view.occurrence);
}

std::optional<GangPlan> Scheduler::planOnAllWorkers(const StepView &view, const StepDemand &demand)
{
    view.step->nextPlanAt = now() + planInterval;
    return planFor(view, demand, candidates(view, demand, TicketFilter::Any));
}

void Scheduler::keepRoomOnRenewingWorkers(const StepView &view, const StepDemand &demand)
{
    const auto workers = plannedWorkers(view, demand, view.step->advice.renewingWorkers);
    const auto plan = planFor(view, demand, workers);
    if (!plan)
        return;
    GangReservation reservation;
    reservation.start = plan->start;
    reservation.excess = view.job->excess;
    keepRoom(view, demand, *plan, reservation);
}

std::optional<GangPlan> Scheduler::planFor(const StepView &view, const StepDemand &demand,
                                           const std::vector<Worker *> &workers) const
{
    std::size_t inspectedRuns = 0;
    const auto endOf = [this, &inspectedRuns](const Run &run) {
        ++inspectedRuns;
        return expectedEnd(run);
    };
    auto plan = planGang(workers, demand, view.spec->count, now(), endOf);
    countInspections(workers.size() + inspectedRuns);
    return plan;
}

void Scheduler::keepRoom(const StepView &view, const StepDemand &demand, const GangPlan &plan,
                         const GangReservation &reservation)
{
    m_reservations.release(demand.step);
    if (!mayKeepRoom(*view.step, plan))
        return;
    const bool delayed = now() >= reservation.start;
    KeptRoom room;
    room.gang = demand.step;
    room.priority = demand.priority;
    room.late = reservation.late;
    room.excess = reservation.excess;
    room.from = std::min(plan.start, reservation.start);
    room.until =
        view.spec->longRunning ? TimePoint::max() : plan.start + expectedTime(view.spec->estimate);
    for (const auto &share : plan.shares) {
        room.amount = heldBy(*view.spec) * share.members;
        room.spare = delayed ? share.worker->free() - room.amount : share.spare;
        m_reservations.keep(share.worker->entry.id, room);
    }
}

bool Scheduler::mayKeepRoom(Step &step, const GangPlan &plan) const
{
    auto &since = step.roomReadySince;
    const bool ready = plan.start <= now();
    if (!ready || (since && now() - *since >= 2 * readyRoomTime))
        since.reset();
    if (ready && !since)
        since = now();
    return !since || now() - *since < readyRoomTime;
}

std::vector<Worker *> Scheduler::plannedWorkers(const StepView &view, const StepDemand &demand,
                                                const std::vector<std::string> &ids)
{
    std::vector<Worker *> result;
    const auto &allowed = view.step->advice.allowed;
    for (const auto &id : ids) {
        const auto entry = m_workers.find(id);
        if (entry == m_workers.end() || !usable(entry->second, now())
            || !isCompatible(entry->second, demand)) {
            continue;
        }
        const auto ticket = allowed.find(id);
        const bool permitted = !view.job->record.queue.advice
            || (ticket != allowed.end() && ticket->second.born == entry->second.born);
        if (permitted)
            result.push_back(&entry->second);
    }
    return result;
}

std::vector<std::string> Scheduler::workersOf(const GangPlan &plan)
{
    std::vector<std::string> result;
    for (const auto &share : plan.shares)
        result.push_back(share.worker->entry.id);
    return result;
}

} // namespace cowsliprock::cell
