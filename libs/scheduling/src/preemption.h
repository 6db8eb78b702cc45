#pragma once

#include "ownerstate.h"

#include <optional>
#include <vector>

namespace cowsliprock::scheduling {

/// Makes room for urgent work by stopping tasks that may yield.
class Preemption
{
public:
    /// How long an urgent reservation may wait for displaced tasks to be gone.
    static constexpr Duration patience = std::chrono::milliseconds(4'000);

    explicit Preemption(OwnerState &state)
        : m_state(state)
    { }

    /// Asks the cheapest set of yielding tasks of one worker to stop. Returns that worker.
    [[nodiscard]] std::optional<WorkerName> displace(const Resources &amount);

    /// A displaced task was asked to checkpoint; stops it if it still runs.
    void stopResult(Hold &hold);

private:
    struct Victims
    {
        WorkerName worker;
        std::vector<AttemptId> attempts;
        double cost = 0;
    };

    [[nodiscard]] std::optional<Victims> cheapestOn(const Candidate &candidate,
                                                    const Resources &amount);
    [[nodiscard]] std::vector<Hold *> yielding(const Worker &worker);

    OwnerState &m_state;
};

} // namespace cowsliprock::scheduling
