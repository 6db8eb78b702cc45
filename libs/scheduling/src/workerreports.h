#pragma once

#include "ownerstate.h"

#include <map>

namespace cowsliprock::scheduling {

/// Polls the owned workers and compares their reports with what is held.
class WorkerReports
{
public:
    explicit WorkerReports(OwnerState &state)
        : m_state(state)
    { }

    void report(const event::WorkerReport &report);
    void unreachable(const WorkerName &name);

    /// Sends the polls that are due; ends the tasks of workers whose leases have run out.
    void tick();

private:
    using Reported = std::map<AttemptId, const TaskReport *>;

    void poll(const WorkerName &name, Worker &worker);
    void leasesEnded(Worker &worker);
    void present(const WorkerName &name, const TaskReport &task, TimePoint askedAt);
    void adopt(const WorkerName &name, const TaskReport &task, TimePoint askedAt);
    void ended(const WorkerName &name, const TaskReport &task);
    void absent(const AttemptId &attempt, TimePoint askedAt);
    void earlyEnd(const Hold &hold, TaskState state);

    OwnerState &m_state;
};

} // namespace cowsliprock::scheduling
