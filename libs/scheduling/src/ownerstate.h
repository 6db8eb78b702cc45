#pragma once

#include "attemptmemory.h"
#include "context.h"
#include "usagecorrection.h"
#include "workerledger.h"

namespace cowsliprock::scheduling {

/// Shared state of the owner side, and the operations that end an attempt there.
class OwnerState
{
public:
    explicit OwnerState(Context &sharedContext)
        : context(sharedContext)
        , ledger(sharedContext)
    { }

    /// Returns the amount to allocate for a task: the larger of its declared and its corrected
    /// size, limited to the capacity of a worker type that fits the declared size.
    [[nodiscard]] Resources amountFor(const TaskLaunch &launch) const;

    /// Releases the allocation of an attempt that never started.
    void endUnstarted(const AttemptId &attempt);

    /// Releases the allocation of an attempt that was started and has ended, and notifies the home.
    void endStarted(const AttemptId &attempt, TaskState state, const Resources &used);

    /// Records the end of an attempt whose allocation was dropped because its VM has ended.
    void vmEnded(const Allocation &allocation);

    void recordEnd(const message::TaskEnded &ended);
    void sendStarted(Allocation &allocation);
    void sendNotStarted(const AttemptId &attempt, const WorkerName &worker,
                        const DaemonName &fallback);
    void sendEnded(AttemptMemory::Record &record);

    /// Requests the worker to stop a task and schedules the next request.
    void stop(Allocation &allocation, effect::StopTask::Mode mode);

    /// True if the worker cannot run a task without an allocation: a report has listed its tasks,
    /// or every lease that an earlier owner may have renewed has expired.
    [[nodiscard]] bool inventoryKnown(const Worker &worker) const;

    [[nodiscard]] std::optional<DaemonIdentity> homeOf(const AttemptId &attempt) const;

    Context &context;
    WorkerLedger ledger;
    AttemptMemory attemptMemory;
    UsageCorrection corrections;
};

} // namespace cowsliprock::scheduling
