#pragma once

#include "jobtable.h"
#include "workertable.h"

#include <cell/model.h>
#include <cell/policy.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cowsliprock::cell {

/// Capacity reserved for work that takes precedence: whole workers for gangs, and parts of workers
/// for which tickets are being renewed.
class Reservations
{
public:
    /// Reserves the worker: only work more urgent than \p priority may use it.
    void reserve(const std::string &worker, std::uint32_t priority);
    [[nodiscard]] bool blocks(const std::string &worker, std::uint32_t priority) const;
    /// True if the worker is reserved at all.
    [[nodiscard]] bool holds(const std::string &worker) const
    {
        return m_priorities.contains(worker);
    }

    /// Number of reserved workers.
    [[nodiscard]] std::size_t workers() const noexcept { return m_priorities.size(); }

    /// Deducts \p amount from the free capacity that steps evaluated later see on the worker.
    void setAside(const std::string &worker, const Resources &amount);
    [[nodiscard]] Resources amountSetAside(const std::string &worker) const;

private:
    std::unordered_map<std::string, std::uint32_t> m_priorities;
    std::unordered_map<std::string, Resources> m_setAside;
};

/// The speed of a worker does not matter.
struct AnySpeed
{ };
/// Work whose objective is at risk on a slow worker.
struct FastestFirst
{ };
/// Work that leaves the fast workers to those who need them.
struct SlowestFirst
{ };
using SpeedPreference = std::variant<AnySpeed, FastestFirst, SlowestFirst>;

/// Rank of a worker of the class: lower ranks are preferred. All ranks are 0 for \c AnySpeed.
[[nodiscard]] int speedRank(const SpeedPreference &preference, int speedClass) noexcept;

/// Sorts the workers by rank; those of one rank keep their order.
void sortBySpeed(std::vector<Worker *> &workers, const SpeedPreference &preference);

/// Placement requirements of the tasks of one step.
struct StepDemand
{
    const StepSpec *spec = nullptr;
    TaskId step; ///< The task index is ignored.
    std::string service;
    std::uint32_t priority = 0;
    const Reservations *reservations = nullptr; ///< Null: reservations are ignored.
    WorkerFit fit{};
    SpeedPreference speed{};
    /// Left free on fast workers, as far as it is a small part of their capacity.
    Resources fastHeadroom{};
};

/// True if the worker's labels and service match the step, regardless of its free capacity.
[[nodiscard]] bool isCompatible(const Worker &worker, const StepDemand &demand);

/// Number of further tasks of the step that fit on the worker now.
[[nodiscard]] std::uint32_t availableSlots(const Worker &worker, const StepDemand &demand);

/// Number of tasks of the step that would fit if all less urgent runs on the worker had ended.
[[nodiscard]] std::uint32_t slotsWithoutLowerPriority(const Worker &worker,
                                                      const StepDemand &demand);

/// Chooses the worker for one task among \p candidates; null if none has room.
[[nodiscard]] Worker *chooseForTask(const std::vector<Worker *> &candidates,
                                    const StepDemand &demand, const Task &task);

/// Chooses a worker for each of \p count tasks that must run together; empty if they do not fit.
/// They wait for the slowest of them, so that workers of similar speed are chosen.
[[nodiscard]] std::vector<Worker *> chooseForGang(const std::vector<Worker *> &candidates,
                                                  const StepDemand &demand, std::uint32_t count);

/// Chooses the workers to reserve for \p count tasks, counting the capacity of less urgent runs as
/// available. Workers with the most free CPU are preferred, whatever their speed: the gang waits
/// until they have room, and reserved fast workers would be missing for urgent tasks meanwhile.
[[nodiscard]] std::vector<Worker *> chooseToReserve(const std::vector<Worker *> &candidates,
                                                    const StepDemand &demand, std::uint32_t count);

} // namespace cowsliprock::cell
