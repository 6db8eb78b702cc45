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
    if (const Hold *hold = m_state.ledger.hold(request.attempt); hold != nullptr) {
        if (hold->state == HoldState::Reserved)
            m_state.context.send(from,
                                 message::ReserveReply{ request.attempt, true, hold->worker, {} });
        return;
    }
    if (m_state.memory.find(request.attempt) != nullptr)
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
        worker = m_preemption.displace(amount);
    if (!worker)
        return refuse(from, request.attempt, "no worker has the capacity free");
    Hold hold;
    hold.launch = request.launch;
    hold.worker = *worker;
    hold.state = placed ? HoldState::Reserved : HoldState::Pending;
    hold.amount = amount;
    hold.priority = request.priority;
    hold.mayYield = request.mayYield;
    hold.requester = from;
    hold.expires = context.now + (placed ? context.settings.reservationTime : Preemption::patience);
    m_state.ledger.add(std::move(hold));
    if (placed)
        context.send(from, message::ReserveReply{ request.attempt, true, *worker, {} });
}

void Reservations::grantIfFree(Hold &hold)
{
    const Worker &worker = *m_state.ledger.worker(hold.worker);
    if (!worker.held.fitsIn(worker.capacity) || !m_state.ledger.takesWork(worker))
        return;
    hold.expires = m_state.context.now + m_state.context.settings.reservationTime;
    m_state.ledger.changeState(hold, HoldState::Reserved);
    m_state.context.send(hold.requester,
                         message::ReserveReply{ hold.launch.attempt, true, hold.worker, {} });
}

void Reservations::release(const message::ReleaseReservation &request)
{
    if (const Hold *hold = m_state.ledger.hold(request.attempt); hold != nullptr) {
        if (hold->state == HoldState::Reserved || hold->state == HoldState::Pending)
            m_state.endUnstarted(request.attempt);
    } else if (m_state.memory.find(request.attempt) == nullptr) {
        m_state.memory.remember(request.attempt, { AttemptMemory::Fate::Barred, {}, 0, {} },
                                m_state.context.now);
    }
}

void Reservations::startTask(const DaemonName &from, const message::StartTask &request)
{
    Hold *hold = m_state.ledger.hold(request.attempt);
    if (hold == nullptr) {
        if (AttemptMemory::Record *record = m_state.memory.find(request.attempt); record != nullptr)
            answerRemembered(from, request.attempt, request.worker, *record);
        else
            answerUnknownStart(from, request);
        return;
    }
    switch (hold->state) {
    case HoldState::Reserved:
        start(*hold);
        break;
    case HoldState::Running:
        m_state.sendStarted(*hold);
        break;
    case HoldState::Pending:
    case HoldState::Starting:
    case HoldState::Unknown:
        m_state.context.send(from,
                             message::StartTaskReply{
                                 request.attempt, message::StartOutcome::Unknown, hold->worker });
        break;
    }
}

void Reservations::start(Hold &hold)
{
    Context &context = m_state.context;
    const Worker &worker = *m_state.ledger.worker(hold.worker);
    const bool allowed = context.valid() && context.usable(worker.partition) && !context.draining
        && !worker.vm.leaving && context.now < hold.expires;
    if (!allowed) {
        const WorkerName name = hold.worker;
        const DaemonName requester = hold.requester;
        const AttemptId attempt = hold.launch.attempt;
        m_state.endUnstarted(attempt);
        m_state.sendNotStarted(attempt, name, requester);
        return;
    }
    hold.settledBy = std::min(context.validUntil, context.now + sendLimit);
    m_state.ledger.changeState(hold, HoldState::Starting);
    context.perform(effect::StartTask{ hold.worker, worker.vm.address, hold.launch,
                                       context.settings.taskLease, hold.settledBy });
    hold.settledBy += context.settings.quarantine;
    Worker &started = *m_state.ledger.worker(hold.worker);
    started.leaseEnd =
        std::max(started.leaseEnd, hold.settledBy + context.settings.taskLease + taskLeaseMargin);
}

void Reservations::answerUnknownStart(const DaemonName &from, const message::StartTask &request)
{
    const Worker *worker = m_state.ledger.worker(request.worker);
    if (worker == nullptr)
        return;
    auto &record = m_state.memory.remember(
        request.attempt, { AttemptMemory::Fate::Barred, {}, 0, {} }, m_state.context.now);
    answerRemembered(from, request.attempt, request.worker, record);
}

void Reservations::answerRemembered(const DaemonName &from, const AttemptId &attempt,
                                    const WorkerName &worker, AttemptMemory::Record &record)
{
    if (record.fate == AttemptMemory::Fate::Barred) {
        const Worker *known = m_state.ledger.worker(worker);
        if (known != nullptr && m_state.contentKnown(*known))
            record.fate = AttemptMemory::Fate::NotStarted;
    }
    switch (record.fate) {
    case AttemptMemory::Fate::Barred:
        m_state.context.send(
            from, message::StartTaskReply{ attempt, message::StartOutcome::Unknown, worker });
        break;
    case AttemptMemory::Fate::NotStarted:
        m_state.sendNotStarted(attempt, worker, from);
        break;
    case AttemptMemory::Fate::Ended:
        m_state.sendEnded(record);
        break;
    }
}

void Reservations::stopTask(const DaemonName &from, const message::StopTask &request)
{
    Hold *hold = m_state.ledger.hold(request.attempt);
    if (hold == nullptr) {
        if (m_state.memory.find(request.attempt) == nullptr)
            m_state.memory.remember(request.attempt, { AttemptMemory::Fate::Barred, {}, 0, {} },
                                    m_state.context.now);
        answerRemembered(from, request.attempt, request.worker,
                         *m_state.memory.find(request.attempt));
        return;
    }
    switch (hold->state) {
    case HoldState::Pending:
    case HoldState::Reserved: {
        const WorkerName worker = hold->worker;
        m_state.endUnstarted(request.attempt);
        m_state.sendNotStarted(request.attempt, worker, from);
        break;
    }
    case HoldState::Starting:
    case HoldState::Unknown:
        // A stop could overtake the start; it is sent when the result is known.
        m_state.ledger.wantStop(*hold);
        break;
    case HoldState::Running:
        m_state.ledger.wantStop(*hold);
        m_state.stop(*hold, effect::StopTask::Mode::Stop);
        break;
    }
}

void Reservations::startResult(const event::TaskStartResult &result)
{
    Hold *hold = m_state.ledger.hold(result.attempt);
    if (hold == nullptr || hold->state != HoldState::Starting)
        return;
    switch (result.outcome) {
    case message::StartOutcome::Started:
        hold->confirmedAt = m_state.context.now;
        m_state.ledger.changeState(*hold, HoldState::Running);
        m_state.sendStarted(*hold);
        if (hold->stopWanted)
            m_state.stop(*hold, effect::StopTask::Mode::Stop);
        break;
    case message::StartOutcome::NotStarted:
        startRefused(*hold);
        break;
    case message::StartOutcome::Unknown:
        // The call has ended, so that no more bytes leave this daemon.
        hold->settledBy =
            std::min(hold->settledBy, m_state.context.now + m_state.context.settings.quarantine);
        m_state.ledger.changeState(*hold, HoldState::Unknown);
        break;
    }
}

void Reservations::startRefused(Hold &hold)
{
    const AttemptId attempt = hold.launch.attempt;
    const WorkerName name = hold.worker;
    const DaemonName requester = hold.requester;
    m_state.endUnstarted(attempt);
    m_state.sendNotStarted(attempt, name, requester);
    if (m_state.ledger.ejection().startRefused(name, m_state.context.now,
                                               m_state.ledger.workers().size())) {
        m_state.context.output->log("worker " + name.value() + " ejected: refuses every start");
        m_state.ledger.refresh(*m_state.ledger.worker(name));
    }
}

void Reservations::stopResult(const event::TaskStopResult &result)
{
    Hold *hold = m_state.ledger.hold(result.attempt);
    // A confirmation that is older than the start says nothing about it.
    if (hold == nullptr || hold->state != HoldState::Running)
        return;
    if (result.confirmed)
        m_state.endStarted(result.attempt, TaskState::Stopped, {});
    else if (hold->checkpointFirst)
        m_preemption.stopResult(*hold);
}

void Reservations::tick()
{
    for (const auto &name : m_state.ledger.ejection().takeEnded(m_state.context.now)) {
        if (Worker *worker = m_state.ledger.worker(name); worker != nullptr)
            m_state.ledger.refresh(*worker);
    }
    const auto active = m_state.ledger.active();
    for (const auto &attempt : active) {
        if (Hold *hold = m_state.ledger.hold(attempt); hold != nullptr)
            tickHold(*hold);
    }
}

void Reservations::tickHold(Hold &hold)
{
    const TimePoint now = m_state.context.now;
    if (hold.state == HoldState::Pending)
        grantIfFree(hold);
    switch (hold.state) {
    case HoldState::Pending:
        if (hold.expires <= now) {
            refuse(hold.requester, hold.launch.attempt, "displaced tasks did not end in time");
            m_state.endUnstarted(hold.launch.attempt);
        }
        break;
    case HoldState::Reserved:
        if (hold.expires <= now)
            m_state.endUnstarted(hold.launch.attempt);
        break;
    case HoldState::Running:
        if (hold.stopWanted && hold.stopAgainAt <= now) {
            hold.checkpointFirst = false;
            m_state.stop(hold, effect::StopTask::Mode::Stop);
        }
        break;
    case HoldState::Starting:
    case HoldState::Unknown:
        break;
    }
}

void Reservations::drain()
{
    const auto active = m_state.ledger.active();
    for (const auto &attempt : active) {
        const Hold *hold = m_state.ledger.hold(attempt);
        if (hold->state == HoldState::Reserved || hold->state == HoldState::Pending)
            m_state.endUnstarted(attempt);
    }
}

bool Reservations::startsInProgress() const
{
    const auto &active = m_state.ledger.active();
    return std::any_of(active.begin(), active.end(), [&](const AttemptId &attempt) {
        const Hold &hold = m_state.ledger.holds().at(attempt);
        return (hold.state == HoldState::Starting || hold.state == HoldState::Unknown)
            && m_state.context.now < hold.settledBy;
    });
}

} // namespace cowsliprock::scheduling
