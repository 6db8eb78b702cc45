#pragma once

#include "jobtable.h"
#include "reservations.h"
#include "workertable.h"

#include <cell/model.h>
#include <cell/policy.h>

#include <base/resources.h>
#include <base/time.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cowsliprock::cell {

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

/// Sorts the workers by free CPU, the most first.
void sortByFreeCpu(std::vector<Worker *> &workers);

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
    /// When a task that is started now is expected to end; the maximum if it does not end by
    /// itself.
    TimePoint expectedEnd = TimePoint::max();
    bool excess = false; ///< Above the guaranteed rate of its customer.
};

/// True if the worker's labels and service match the step, regardless of its free capacity.
[[nodiscard]] bool isCompatible(const Worker &worker, const StepDemand &demand);

/// Number of further tasks of the step that fit on the worker now.
[[nodiscard]] std::uint32_t availableSlots(const Worker &worker, const StepDemand &demand);

/// Number of further tasks of the step that fit on the worker while \p free is free there, whatever
/// is reserved.
[[nodiscard]] std::uint32_t slotsIn(const Resources &free, const Worker &worker,
                                    const StepDemand &demand);

/// Chooses the worker for one task among \p candidates; null if none has room.
[[nodiscard]] Worker *chooseForTask(const std::vector<Worker *> &candidates,
                                    const StepDemand &demand, const Task &task);

/// Chooses a worker for each of \p count tasks that must run together; empty if they do not fit.
/// They wait for the slowest of them, so that workers of similar speed are chosen.
[[nodiscard]] std::vector<Worker *> chooseForGang(const std::vector<Worker *> &candidates,
                                                  const StepDemand &demand, std::uint32_t count);

} // namespace cowsliprock::cell
