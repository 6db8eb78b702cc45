#pragma once

#include "homestate.h"
#include "ownerchoice.h"

namespace cowsliprock::scheduling {

class TaskRunner;

/// Gang scheduling: starts all tasks of a gang together. Reserves capacity for all members, owner
/// by owner in increasing order of partitions, makes the intents durable, then starts all members.
/// If a step fails, all reservations are released and the gang backs off for a random time. The
/// lock order prevents deadlock and the random back-off prevents livelock between competing gangs.
class GangRunner
{
public:
    GangRunner(HomeState &state, OwnerChoice &owners, TaskRunner &tasks)
        : m_state(state)
        , m_owners(owners)
        , m_tasks(tasks)
    { }

    void begin(Job &job);
    void reserveReply(TaskReference member, bool granted);
    void journalResult(TaskReference member, bool durable);
    void memberStarted(TaskReference member);
    void memberNotStarted(TaskReference member);
    void memberEnded(TaskReference member, TaskState state);

    /// Recovery of a member after a take-over has completed: it was found running, or was not found
    /// in time.
    void memberRecovered(TaskReference member);

    /// Aborts the rounds of gangs whose reservations were not complete in time.
    void tick();

private:
    void reserveAtNextOwner(Job &job);
    void allReserved(Job &job);
    void startAll(Job &job);
    void abandonRound(Job &job);
    void fail(Job &job);
    void finishRound(Job &job);
    void requeue(Job &job);

    HomeState &m_state;
    OwnerChoice &m_owners;
    TaskRunner &m_tasks;
    std::set<JobId> m_reserving;
};

} // namespace cowsliprock::scheduling
