#pragma once

#include "jobtable.h"
#include "workertable.h"

#include <cell/model.h>
#include <cell/policy.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

/// Room that is spoken for by work which goes first: whole workers that are kept for gangs, and
/// parts of workers for which tickets are being renewed.
class Reservations
{
public:
    /// Only work that is more urgent than \p priority may use the worker.
    void reserve(const std::string &worker, std::uint32_t priority);
    [[nodiscard]] bool blocks(const std::string &worker, std::uint32_t priority) const;
    /// True if the worker is kept for anyone.
    [[nodiscard]] bool holds(const std::string &worker) const
    {
        return m_priorities.contains(worker);
    }

    /// Workers that are kept.
    [[nodiscard]] std::size_t workers() const noexcept { return m_priorities.size(); }

    /// Takes a part of the worker's free room away from the work that comes after.
    void pledge(const std::string &worker, const Resources &amount);
    [[nodiscard]] Resources pledged(const std::string &worker) const;

private:
    std::unordered_map<std::string, std::uint32_t> m_priorities;
    std::unordered_map<std::string, Resources> m_pledged;
};

/// What is placed: tasks of one step.
struct StepDemand
{
    const StepSpec *spec = nullptr;
    TaskId step; ///< The index is not used.
    std::string service;
    std::uint32_t priority = 0;
    const Reservations *reservations = nullptr; ///< Null: none are respected.
    WorkerFit fit{};
};

/// True if the worker's kind and service suit the step, whether it has room or not.
[[nodiscard]] bool suits(const Worker &worker, const StepDemand &demand);

/// How many more tasks of the step the worker can take now.
[[nodiscard]] std::uint32_t roomFor(const Worker &worker, const StepDemand &demand);

/// How many tasks of the step the worker could take if all less urgent work left it.
[[nodiscard]] std::uint32_t roomWithoutLesser(const Worker &worker, const StepDemand &demand);

/// Chooses the worker for one task among \p candidates. Null if none has room.
[[nodiscard]] Worker *chooseForTask(const std::vector<Worker *> &candidates,
                                    const StepDemand &demand, const Task &task);

/// Chooses a worker for each of \p count tasks that must run together; empty if there is no room.
[[nodiscard]] std::vector<Worker *> chooseForGang(const std::vector<Worker *> &candidates,
                                                  const StepDemand &demand, std::uint32_t count);

/// Chooses the workers that can soonest hold \p count tasks once less urgent work has left.
[[nodiscard]] std::vector<Worker *> chooseToReserve(const std::vector<Worker *> &candidates,
                                                    const StepDemand &demand, std::uint32_t count);

} // namespace cowsliprock::cell
