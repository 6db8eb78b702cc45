#include "reservations.h"

#include <algorithm>
#include <vector>

namespace cowsliprock::scheduling {

void Reservations::refuse(const DaemonName &to, const AttemptId &attempt, const char *reason)
{
    m_state.context.send(to, message::ReserveReply{ attempt, false, {}, reason });
}

void Reservations::reserve(const DaemonName &from, const message::Reserve &request)
{
    if (const Allocation *allocation = m_state.ledger.allocation(request.attempt);
        allocation != nullptr) {
        if (allocation->state == AllocationState::Reserved)
            m_state.context.send(
                from, message::ReserveReply{ request.attempt, true, allocation->worker, {} });
        return;
    }
    if (m_state.attemptMemory.find(request.attempt) != nullptr)
        return refuse(from, request.attempt, "attempt is over");
    if (m_state.context.draining || !m_state.context.valid())
        return refuse(from, request.attempt, "owner gives no work");
    place(from, request);
}

void Reservations::place(const DaemonName &from, const message::Reserve &request)
{
    Context &context = m_state.context;
    const PolicyDefinition definition = context.policy(request.policy).value_or(PolicyDefinition{});
    const auto &registry = PolicyRegistry::instance();
    const PlacementPolicy *policy = registry.find(definition.placement);
    if (policy == nullptr)
        policy = registry.find("packing");
    const Resources amount = m_state.amountFor(request.launch);
    std::uint64_t examined = 0;
    auto worker =
        policy->choose({ amount, definition }, m_state.ledger.index(), context.random, examined);
    context.output->count("scheduling.candidates", examined);
    context.output->count("scheduling.placements");
    const bool placed = worker.has_value();
    if (!placed && request.preempt)
        worker = m_preemption.preemptTasks(amount);
    if (!worker)
        return refuse(from, request.attempt, "no worker has the capacity free");
    Allocation allocation;
    allocation.launch = request.launch;
    allocation.worker = *worker;
    allocation.state = placed ? AllocationState::Reserved : AllocationState::Pending;
    allocation.amount = amount;
    allocation.priority = request.priority;
    allocation.mayYield = request.mayYield;
    allocation.requester = from;
    allocation.expires =
        context.now + (placed ? context.settings.reservationTime : Preemption::preemptionTimeout);
    m_state.ledger.add(std::move(allocation));
    if (placed)
        context.send(from, message::ReserveReply{ request.attempt, true, *worker, {} });
}

void Reservations::grantIfFree(Allocation &allocation)
{
    const Worker &worker = *m_state.ledger.worker(allocation.worker);
    if (!worker.allocated.fitsIn(worker.capacity) || !m_state.ledger.acceptsTasks(worker))
        return;
    allocation.expires = m_state.context.now + m_state.context.settings.reservationTime;
    m_state.ledger.changeState(allocation, AllocationState::Reserved);
    m_state.context.send(
        allocation.requester,
        message::ReserveReply{ allocation.launch.attempt, true, allocation.worker, {} });
}

void Reservations::release(const message::ReleaseReservation &request)
{
    if (const Allocation *allocation = m_state.ledger.allocation(request.attempt);
        allocation != nullptr) {
        if (allocation->state == AllocationState::Reserved
            || allocation->state == AllocationState::Pending)
            m_state.endUnstarted(request.attempt);
    } else if (m_state.attemptMemory.find(request.attempt) == nullptr) {
        m_state.attemptMemory.insertRecord(request.attempt,
                                           { AttemptMemory::Disposition::Blocked, {}, 0, {} },
                                           m_state.context.now);
    }
}

void Reservations::startTask(const DaemonName &from, const message::StartTask &request)
{
    Allocation *allocation = m_state.ledger.allocation(request.attempt);
    if (allocation == nullptr) {
        if (AttemptMemory::Record *record = m_state.attemptMemory.find(request.attempt);
            record != nullptr)
            answerFromRecord(from, request.attempt, request.worker, *record);
        else
            answerUnknownStart(from, request);
        return;
    }
    switch (allocation->state) {
    case AllocationState::Reserved:
        start(*allocation);
        break;
    case AllocationState::Running:
        m_state.sendStarted(*allocation);
        break;
    case AllocationState::Pending:
    case AllocationState::Starting:
    case AllocationState::Unknown:
        m_state.context.send(from,
                             message::StartTaskReply{ request.attempt,
                                                      message::StartOutcome::Unknown,
                                                      allocation->worker });
        break;
    }
}

void Reservations::start(Allocation &allocation)
{
    Context &context = m_state.context;
    const Worker &worker = *m_state.ledger.worker(allocation.worker);
    const bool allowed = context.valid() && context.usable(worker.partition) && !context.draining
        && !worker.vm.leaving && context.now < allocation.expires;
    if (!allowed) {
        const WorkerName name = allocation.worker;
        const DaemonName requester = allocation.requester;
        const AttemptId attempt = allocation.launch.attempt;
        m_state.endUnstarted(attempt);
        m_state.sendNotStarted(attempt, name, requester);
        return;
    }
    allocation.startEffectiveBy = std::min(context.validUntil, context.now + sendLimit);
    m_state.ledger.changeState(allocation, AllocationState::Starting);
    context.perform(effect::StartTask{ allocation.worker, worker.vm.address, allocation.launch,
                                       context.settings.taskLease, allocation.startEffectiveBy });
    allocation.startEffectiveBy += context.settings.quarantine;
    Worker &started = *m_state.ledger.worker(allocation.worker);
    started.leaseEnd =
        std::max(started.leaseEnd,
                 allocation.startEffectiveBy + context.settings.taskLease + taskLeaseMargin);
}

void Reservations::answerUnknownStart(const DaemonName &from, const message::StartTask &request)
{
    const Worker *worker = m_state.ledger.worker(request.worker);
    if (worker == nullptr)
        return;
    auto &record = m_state.attemptMemory.insertRecord(
        request.attempt, { AttemptMemory::Disposition::Blocked, {}, 0, {} }, m_state.context.now);
    answerFromRecord(from, request.attempt, request.worker, record);
}

void Reservations::answerFromRecord(const DaemonName &from, const AttemptId &attempt,
                                    const WorkerName &worker, AttemptMemory::Record &record)
{
    if (record.disposition == AttemptMemory::Disposition::Blocked) {
        const Worker *known = m_state.ledger.worker(worker);
        if (known != nullptr && m_state.inventoryKnown(*known))
            record.disposition = AttemptMemory::Disposition::NotStarted;
    }
    switch (record.disposition) {
    case AttemptMemory::Disposition::Blocked:
        m_state.context.send(
            from, message::StartTaskReply{ attempt, message::StartOutcome::Unknown, worker });
        break;
    case AttemptMemory::Disposition::NotStarted:
        m_state.sendNotStarted(attempt, worker, from);
        break;
    case AttemptMemory::Disposition::Ended:
        m_state.sendEnded(record);
        break;
    }
}

void Reservations::stopTask(const DaemonName &from, const message::StopTask &request)
{
    Allocation *allocation = m_state.ledger.allocation(request.attempt);
    if (allocation == nullptr) {
        if (m_state.attemptMemory.find(request.attempt) == nullptr)
            m_state.attemptMemory.insertRecord(request.attempt,
                                               { AttemptMemory::Disposition::Blocked, {}, 0, {} },
                                               m_state.context.now);
        answerFromRecord(from, request.attempt, request.worker,
                         *m_state.attemptMemory.find(request.attempt));
        return;
    }
    switch (allocation->state) {
    case AllocationState::Pending:
    case AllocationState::Reserved: {
        const WorkerName worker = allocation->worker;
        m_state.endUnstarted(request.attempt);
        m_state.sendNotStarted(request.attempt, worker, from);
        break;
    }
    case AllocationState::Starting:
    case AllocationState::Unknown:
        // A stop request could overtake the start, so it is sent once the result is known.
        m_state.ledger.requestStop(*allocation);
        break;
    case AllocationState::Running:
        m_state.ledger.requestStop(*allocation);
        m_state.stop(*allocation, effect::StopTask::Mode::Stop);
        break;
    }
}

void Reservations::startResult(const event::TaskStartResult &result)
{
    Allocation *allocation = m_state.ledger.allocation(result.attempt);
    if (allocation == nullptr || allocation->state != AllocationState::Starting)
        return;
    switch (result.outcome) {
    case message::StartOutcome::Started:
        allocation->confirmedAt = m_state.context.now;
        m_state.ledger.changeState(*allocation, AllocationState::Running);
        m_state.sendStarted(*allocation);
        if (allocation->stopRequested)
            m_state.stop(*allocation, effect::StopTask::Mode::Stop);
        break;
    case message::StartOutcome::NotStarted:
        startRefused(*allocation);
        break;
    case message::StartOutcome::Unknown:
        // The call has ended, so this daemon sends no more of its bytes.
        allocation->startEffectiveBy =
            std::min(allocation->startEffectiveBy,
                     m_state.context.now + m_state.context.settings.quarantine);
        m_state.ledger.changeState(*allocation, AllocationState::Unknown);
        break;
    }
}

void Reservations::startRefused(Allocation &allocation)
{
    const AttemptId attempt = allocation.launch.attempt;
    const WorkerName name = allocation.worker;
    const DaemonName requester = allocation.requester;
    m_state.endUnstarted(attempt);
    m_state.sendNotStarted(attempt, name, requester);
    if (m_state.ledger.ejection().startRefused(name, m_state.context.now,
                                               m_state.ledger.workers().size())) {
        m_state.context.output->log("worker " + name.value()
                                    + " ejected: it refused consecutive task starts");
        m_state.ledger.refresh(*m_state.ledger.worker(name));
    }
}

void Reservations::stopResult(const event::TaskStopResult &result)
{
    Allocation *allocation = m_state.ledger.allocation(result.attempt);
    // Confirmations that precede the start do not apply to it.
    if (allocation == nullptr || allocation->state != AllocationState::Running)
        return;
    if (result.confirmed)
        m_state.endStarted(result.attempt, TaskState::Stopped, {});
    else if (allocation->checkpointFirst)
        m_preemption.stopResult(*allocation);
}

void Reservations::tick()
{
    for (const auto &name : m_state.ledger.ejection().takeEnded(m_state.context.now)) {
        if (Worker *worker = m_state.ledger.worker(name); worker != nullptr)
            m_state.ledger.refresh(*worker);
    }
    const auto active = m_state.ledger.active();
    for (const auto &attempt : active) {
        if (Allocation *allocation = m_state.ledger.allocation(attempt); allocation != nullptr)
            tickAllocation(*allocation);
    }
}

void Reservations::tickAllocation(Allocation &allocation)
{
    const TimePoint now = m_state.context.now;
    if (allocation.state == AllocationState::Pending)
        grantIfFree(allocation);
    switch (allocation.state) {
    case AllocationState::Pending:
        if (allocation.expires <= now) {
            refuse(allocation.requester, allocation.launch.attempt,
                   "displaced tasks did not end in time");
            m_state.endUnstarted(allocation.launch.attempt);
        }
        break;
    case AllocationState::Reserved:
        if (allocation.expires <= now)
            m_state.endUnstarted(allocation.launch.attempt);
        break;
    case AllocationState::Running:
        if (allocation.stopRequested && allocation.nextStopAt <= now) {
            allocation.checkpointFirst = false;
            m_state.stop(allocation, effect::StopTask::Mode::Stop);
        }
        break;
    case AllocationState::Starting:
    case AllocationState::Unknown:
        break;
    }
}

void Reservations::drain()
{
    const auto active = m_state.ledger.active();
    for (const auto &attempt : active) {
        const Allocation *allocation = m_state.ledger.allocation(attempt);
        if (allocation->state == AllocationState::Reserved
            || allocation->state == AllocationState::Pending)
            m_state.endUnstarted(attempt);
    }
}

bool Reservations::startsInProgress() const
{
    const auto &active = m_state.ledger.active();
    return std::any_of(active.begin(), active.end(), [&](const AttemptId &attempt) {
        const Allocation &allocation = m_state.ledger.allocations().at(attempt);
        return (allocation.state == AllocationState::Starting
                || allocation.state == AllocationState::Unknown)
            && m_state.context.now < allocation.startEffectiveBy;
    });
}

} // namespace cowsliprock::scheduling
