#include "ownerstate.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

/// Interval between two stop requests for the same task.
constexpr Duration stopRetryInterval = std::chrono::seconds(1);

} // namespace

Resources OwnerState::amountFor(const TaskLaunch &launch) const
{
    const Resources corrected = corrections.corrected(launch.name, launch.declared);
    if (corrected == launch.declared)
        return corrected;
    Resources result = launch.declared;
    for (const auto &type : ledger.workerTypes()) {
        if (launch.declared.fitsIn(type))
            return componentMax(launch.declared, componentMin(corrected, type));
    }
    return result;
}

void OwnerState::endUnstarted(const AttemptId &attempt)
{
    const Allocation allocation = ledger.remove(attempt);
    attemptMemory.insertRecord(allocation.launch.attempt,
                               { AttemptMemory::Disposition::NotStarted, {}, 0, {} }, context.now);
}

void OwnerState::endStarted(const AttemptId &attempt, TaskState state, const Resources &used)
{
    const Allocation allocation = ledger.remove(attempt);
    recordEnd(
        { allocation.launch.attempt, allocation.launch.job, allocation.launch.index, state, used });
}

void OwnerState::vmEnded(const Allocation &allocation)
{
    const AttemptId &attempt = allocation.launch.attempt;
    if (allocation.state == AllocationState::Pending
        || allocation.state == AllocationState::Reserved) {
        attemptMemory.insertRecord(attempt, { AttemptMemory::Disposition::NotStarted, {}, 0, {} },
                                   context.now);
        return;
    }
    recordEnd({ attempt, allocation.launch.job, allocation.launch.index, TaskState::Lapsed, {} });
}

void OwnerState::recordEnd(const message::TaskEnded &ended)
{
    sendEnded(attemptMemory.insertRecord(
        ended.attempt, { AttemptMemory::Disposition::Ended, ended, 0, {} }, context.now));
}

void OwnerState::sendStarted(Allocation &allocation)
{
    const AttemptId &attempt = allocation.launch.attempt;
    const auto home = homeOf(attempt);
    if (!home)
        return;
    allocation.notifiedHome = *home;
    allocation.notifiedAt = context.now;
    context.send(
        home->name,
        message::StartTaskReply{ attempt, message::StartOutcome::Started, allocation.worker });
}

void OwnerState::sendNotStarted(const AttemptId &attempt, const WorkerName &worker,
                                const DaemonName &fallback)
{
    const auto home = homeOf(attempt);
    context.send(home ? home->name : fallback,
                 message::StartTaskReply{ attempt, message::StartOutcome::NotStarted, worker });
}

void OwnerState::sendEnded(AttemptMemory::Record &record)
{
    const auto home = homeOf(record.ended.attempt);
    if (!home)
        return;
    ++record.sent;
    record.notifiedHome = *home;
    context.send(home->name, record.ended);
}

void OwnerState::stop(Allocation &allocation, effect::StopTask::Mode mode)
{
    const Worker *worker = ledger.worker(allocation.worker);
    allocation.nextStopAt = context.now + stopRetryInterval;
    if (worker == nullptr || !context.valid() || !context.usable(worker->partition))
        return;
    context.perform(effect::StopTask{ allocation.launch.attempt, allocation.worker,
                                      worker->vm.address, mode,
                                      std::min(context.validUntil, context.now + sendLimit) });
}

bool OwnerState::inventoryKnown(const Worker &worker) const
{
    if (!context.valid() || !context.usable(worker.partition))
        return false;
    return worker.reported || context.now >= worker.leaseEnd;
}

std::optional<DaemonIdentity> OwnerState::homeOf(const AttemptId &attempt) const
{
    const auto name = AttemptName::parse(attempt);
    return name ? context.ownerOf(name->home) : std::nullopt;
}

} // namespace cowsliprock::scheduling
