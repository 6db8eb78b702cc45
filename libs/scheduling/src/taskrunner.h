#pragma once

#include "homestate.h"
#include "ownerchoice.h"

namespace cowsliprock::scheduling {

class GangRunner;

/// State machine of the tasks of this home's jobs: reservation, durable intent of exclusive tasks,
/// start, running, proof of the end, next attempt.
class TaskRunner
{
public:
    TaskRunner(HomeState &state, OwnerChoice &owners)
        : m_state(state)
        , m_owners(owners)
    { }

    void setGangRunner(GangRunner &gangs) noexcept { m_gangs = &gangs; }

    /// Starts requesting capacity for a queued task.
    void begin(TaskReference reference);

    void reserveReply(const DaemonName &from, const message::ReserveReply &reply);
    void startReply(const DaemonName &from, const message::StartTaskReply &reply);
    void ended(const message::TaskEnded &ended);
    void journalResult(const event::JournalResult &result);

    /// Handles a time-out or retry that is due.
    void due(TaskReference reference);

    /// Stops a task for good: releases its reservation and stops attempts that may be running.
    void stop(TaskReference reference);

    // Steps shared with GangRunner.
    void requestReservation(TaskReference reference, const DaemonName &owner, bool preempt);
    void release(TaskReference reference);
    void writeIntent(TaskReference reference);
    void start(TaskReference reference);

    /// Handles the proven end of the current attempt.
    void attemptEnded(TaskReference reference, TaskState state);

private:
    void reserveNext(TaskReference reference);
    void granted(TaskReference reference);
    void requeueAfterRound(TaskReference reference);
    void started(TaskReference reference, const message::StartTaskReply &reply);
    void notStarted(TaskReference reference, const DaemonName &from);
    void runningAnnounced(const DaemonName &from, const message::StartTaskReply &reply);
    void adopt(TaskReference reference, const DaemonName &from,
               const message::StartTaskReply &reply);
    void inheritedNotStarted(const DaemonName &from, const message::StartTaskReply &reply);
    void inheritedEnded(const message::TaskEnded &ended);
    void auditRunning(TaskReference reference);
    void retryOrFail(TaskReference reference, TaskState state);
    void reportEnd(TaskReference reference, TaskState state);
    void resendStart(TaskReference reference);
    void resendStop(TaskReference reference);
    void recoverInherited(TaskReference reference);
    [[nodiscard]] bool vmEnded(const Task &task) const;
    [[nodiscard]] DaemonName ownerOf(const WorkerName &worker, const DaemonName &known) const;
    void sendStop(const AttemptId &attempt, const WorkerName &worker, const DaemonName &owner);

    HomeState &m_state;
    OwnerChoice &m_owners;
    GangRunner *m_gangs = nullptr;
};

} // namespace cowsliprock::scheduling
