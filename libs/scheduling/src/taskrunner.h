#pragma once

#include "homestate.h"
#include "ownerchoice.h"

namespace cowsliprock::scheduling {

class GangRunner;

/// Takes each task of the jobs of this home from the queue to its end: reservation, durable intent
/// of exclusive tasks, start, running, proof of the end, next attempt.
class TaskRunner
{
public:
    TaskRunner(HomeState &state, OwnerChoice &owners)
        : m_state(state)
        , m_owners(owners)
    { }

    void connect(GangRunner &gangs) noexcept { m_gangs = &gangs; }

    /// Starts the search for capacity for a queued task.
    void begin(TaskReference reference);

    void reserveReply(const DaemonName &from, const message::ReserveReply &reply);
    void startReply(const DaemonName &from, const message::StartTaskReply &reply);
    void ended(const message::TaskEnded &ended);
    void journalResult(const event::JournalResult &result);

    /// Handles a time-out or a repetition that is due.
    void due(TaskReference reference);

    /// The task must not run again: releases what is reserved, stops what may run.
    void stop(TaskReference reference);

    // Steps that gangs use too.
    void askOwner(TaskReference reference, const DaemonName &owner, bool preempt);
    void release(TaskReference reference);
    void writeIntent(TaskReference reference);
    void start(TaskReference reference);

    /// The attempt is over, with proof.
    void over(TaskReference reference, TaskState state);

private:
    void askNext(TaskReference reference);
    void granted(TaskReference reference);
    void giveUpRound(TaskReference reference);
    void started(TaskReference reference, const message::StartTaskReply &reply);
    void notStarted(TaskReference reference, const DaemonName &from);
    void announced(const DaemonName &from, const message::StartTaskReply &reply);
    void adopt(TaskReference reference, const DaemonName &from,
               const message::StartTaskReply &reply);
    void inheritedNotStarted(const DaemonName &from, const message::StartTaskReply &reply);
    void inheritedOver(const message::TaskEnded &ended);
    void auditDue(TaskReference reference);
    void retryOrFail(TaskReference reference, TaskState state);
    void reportEnd(TaskReference reference, TaskState state);
    void repeatStart(TaskReference reference);
    void repeatStop(TaskReference reference);
    void recoveryDue(TaskReference reference);
    [[nodiscard]] bool vmEnded(const Task &task) const;
    [[nodiscard]] DaemonName ownerOf(const WorkerName &worker, const DaemonName &known) const;
    void sendStop(const AttemptId &attempt, const WorkerName &worker, const DaemonName &owner);

    HomeState &m_state;
    OwnerChoice &m_owners;
    GangRunner *m_gangs = nullptr;
};

} // namespace cowsliprock::scheduling
