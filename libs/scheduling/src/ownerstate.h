#pragma once

#include "attemptmemory.h"
#include "context.h"
#include "usagecorrection.h"
#include "workerledger.h"

namespace cowsliprock::scheduling {

/// State of the owner side that its parts share, and the ways in which an attempt ends there.
class OwnerState
{
public:
    explicit OwnerState(Context &sharedContext)
        : context(sharedContext)
        , ledger(sharedContext)
    { }

    /// Amount to hold for a task: the larger of its declared and its corrected size, but not more
    /// than a worker has that can hold the declared size.
    [[nodiscard]] Resources amountFor(const TaskLaunch &launch) const;

    /// Releases a hold whose attempt never started.
    void endUnstarted(const AttemptId &attempt);

    /// Releases a hold whose attempt was started and is over, and tells the home.
    void endStarted(const AttemptId &attempt, TaskState state, const Resources &used);

    /// Follows a hold that the ledger has given up because its VM has ended.
    void vmEnded(const Hold &hold);

    void rememberEnd(const message::TaskEnded &ended);
    void sendStarted(Hold &hold);
    void sendNotStarted(const AttemptId &attempt, const WorkerName &worker,
                        const DaemonName &fallback);
    void sendEnded(AttemptMemory::Record &record);

    /// Asks the worker to stop a task, for as long as it is held.
    void stop(Hold &hold, effect::StopTask::Mode mode);

    /// True if no task that is not held can be on this worker: a report has shown what is there, or
    /// every lease that an earlier owner may have renewed has ended.
    [[nodiscard]] bool contentKnown(const Worker &worker) const;

    [[nodiscard]] std::optional<DaemonIdentity> homeOf(const AttemptId &attempt) const;

    Context &context;
    WorkerLedger ledger;
    AttemptMemory memory;
    UsageCorrection corrections;
};

} // namespace cowsliprock::scheduling
