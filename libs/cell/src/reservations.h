#pragma once

#include "workertable.h"

#include <cell/model.h>

#include <base/resources.h>
#include <base/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

struct StepDemand;

/// True if both tasks belong to one step of one occurrence of a job.
[[nodiscard]] bool sameStep(const TaskId &left, const TaskId &right);

/// Room that a worker keeps for members of a waiting gang. Work of the same or a lower priority
/// uses it only if it is expected to end in time.
struct KeptRoom
{
    TaskId gang; ///< The task index is ignored.
    std::uint32_t priority = 0;
    bool late = false;   ///< The gang yields to other gangs, since it misses its objective.
    bool excess = false; ///< Only work above the guaranteed rate of a customer yields to the gang.
    Resources amount;
    TimePoint from{};  ///< Work that is expected to end later leaves the amount free.
    TimePoint until{}; ///< Expected end of the gang; the maximum if it does not end by itself.
    /// Expected to be free beside the amount once the gang starts; negative where more urgent work
    /// has used it.
    Resources spare;
};

/// Capacity of workers that is kept for work that takes precedence: for gangs, and for tasks whose
/// tickets are being renewed.
class Reservations
{
public:
    void keep(const std::string &worker, const KeptRoom &room);
    /// Gives up all that is kept for the gang.
    void release(const TaskId &gang);
    /// Records that a task that holds \p held until \p expectedEnd has been started on the worker.
    void taskStarted(const std::string &worker, const Resources &held, TimePoint expectedEnd);
    /// True if room is kept for a gang on the worker.
    [[nodiscard]] bool holds(const std::string &worker) const;
    /// Rooms for other gangs that the step must not use.
    [[nodiscard]] std::vector<KeptRoom> roomsBefore(const std::string &worker,
                                                    const StepDemand &demand) const;

    /// Number of workers that keep room for gangs.
    [[nodiscard]] std::size_t workers() const;

    /// Deducts \p amount from the free capacity that steps evaluated later see on the worker.
    void setAside(const std::string &worker, const Resources &amount);

    /// The part of the free capacity of the worker that the step may use now.
    [[nodiscard]] Resources availableTo(const StepDemand &demand, const Worker &worker,
                                        Resources free) const;

private:
    struct Entry
    {
        std::vector<KeptRoom> kept;
        Resources setAside;
    };

    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace cowsliprock::cell
