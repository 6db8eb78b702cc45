#pragma once

#include "ownerstate.h"

#include <map>

namespace cowsliprock::scheduling {

/// Polls the owned workers and reconciles their reports with the allocations.
class WorkerReports
{
public:
    explicit WorkerReports(OwnerState &state)
        : m_state(state)
    { }

    void report(const event::WorkerReport &report);
    void unreachable(const WorkerName &name);

    /// Sends due polls and ends the tasks of workers whose leases have expired.
    void tick();

private:
    using Reported = std::map<AttemptId, const TaskReport *>;

    void poll(const WorkerName &name, Worker &worker);
    void expireLeases(Worker &worker);
    void reportedRunning(const WorkerName &name, const TaskReport &task, TimePoint askedAt);
    void adopt(const WorkerName &name, const TaskReport &task, TimePoint askedAt);
    void ended(const WorkerName &name, const TaskReport &task);
    void notReported(const AttemptId &attempt, TimePoint askedAt);
    void recordStartOutcome(const Allocation &allocation, TaskState state);

    OwnerState &m_state;
};

} // namespace cowsliprock::scheduling
