#pragma once

#include "homestate.h"
#include "ownerchoice.h"

namespace cowsliprock::scheduling {

class TaskRunner;

/// Starts the tasks of a gang all at once: reserves all of them, owner by owner in increasing order
/// of partitions, makes the intents durable, then starts all. When any step fails, everything is
/// released and the gang waits for a random time, so that competing gangs neither block each other
/// nor fail in step for ever.
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
    void memberOver(TaskReference member, TaskState state);

    /// A member of a gang that was taken over has been found, or was not found in time.
    void memberRecovered(TaskReference member);

    /// Gives up gangs that could not reserve everything in time.
    void tick();

private:
    void askNextOwner(Job &job);
    void allReserved(Job &job);
    void startAll(Job &job);
    void giveUp(Job &job);
    void fail(Job &job);
    void settle(Job &job);
    void requeue(Job &job);

    HomeState &m_state;
    OwnerChoice &m_owners;
    TaskRunner &m_tasks;
    std::set<JobId> m_reserving;
};

} // namespace cowsliprock::scheduling
