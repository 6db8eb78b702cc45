#pragma once

#include "ownerstate.h"

#include <optional>
#include <vector>

namespace cowsliprock::scheduling {

/// Frees capacity for urgent work by stopping preemptible tasks.
class Preemption
{
public:
    /// Maximum time an urgent reservation waits for preempted tasks to end.
    static constexpr Duration preemptionTimeout = std::chrono::milliseconds(4'000);

    explicit Preemption(OwnerState &state)
        : m_state(state)
    { }

    /// Requests the cheapest set of preemptible tasks of one worker to stop. Returns that worker.
    [[nodiscard]] std::optional<WorkerName> preemptTasks(const Resources &amount);

    /// Handles the result of a checkpoint request to a preempted task: stops the task.
    void stopResult(Allocation &allocation);

private:
    struct Victims
    {
        WorkerName worker;
        std::vector<AttemptId> attempts;
        double cost = 0;
    };

    [[nodiscard]] std::optional<Victims> selectVictims(const Candidate &candidate,
                                                       const Resources &amount);
    [[nodiscard]] std::vector<Allocation *> preemptibleTasks(const Worker &worker);

    OwnerState &m_state;
};

} // namespace cowsliprock::scheduling
