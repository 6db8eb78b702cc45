#include "ownerstate.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

/// Between two requests to stop the same task.
constexpr Duration stopInterval = std::chrono::seconds(1);

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
    const Hold hold = ledger.remove(attempt);
    memory.remember(hold.launch.attempt, { AttemptMemory::Fate::NotStarted, {}, 0, {} },
                    context.now);
}

void OwnerState::endStarted(const AttemptId &attempt, TaskState state, const Resources &used)
{
    const Hold hold = ledger.remove(attempt);
    rememberEnd({ hold.launch.attempt, hold.launch.job, hold.launch.index, state, used });
}

void OwnerState::vmEnded(const Hold &hold)
{
    const AttemptId &attempt = hold.launch.attempt;
    if (hold.state == HoldState::Pending || hold.state == HoldState::Reserved) {
        memory.remember(attempt, { AttemptMemory::Fate::NotStarted, {}, 0, {} }, context.now);
        return;
    }
    rememberEnd({ attempt, hold.launch.job, hold.launch.index, TaskState::Lapsed, {} });
}

void OwnerState::rememberEnd(const message::TaskEnded &ended)
{
    sendEnded(
        memory.remember(ended.attempt, { AttemptMemory::Fate::Ended, ended, 0, {} }, context.now));
}

void OwnerState::sendStarted(Hold &hold)
{
    const AttemptId &attempt = hold.launch.attempt;
    const auto home = homeOf(attempt);
    if (!home)
        return;
    hold.announcedTo = *home;
    hold.announcedAt = context.now;
    context.send(home->name,
                 message::StartTaskReply{ attempt, message::StartOutcome::Started, hold.worker });
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
    record.announcedTo = *home;
    context.send(home->name, record.ended);
}

void OwnerState::stop(Hold &hold, effect::StopTask::Mode mode)
{
    const Worker *worker = ledger.worker(hold.worker);
    hold.stopAgainAt = context.now + stopInterval;
    if (worker == nullptr || !context.valid() || !context.usable(worker->partition))
        return;
    context.perform(effect::StopTask{ hold.launch.attempt, hold.worker, worker->vm.address, mode,
                                      std::min(context.validUntil, context.now + sendLimit) });
}

bool OwnerState::contentKnown(const Worker &worker) const
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
