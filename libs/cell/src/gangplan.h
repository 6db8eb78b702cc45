#pragma once

#include "placement.h"
#include "workertable.h"

#include <base/resources.h>
#include <base/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Members of a gang that are planned on one worker.
struct GangShare
{
    Worker *worker = nullptr;
    std::uint32_t members = 0;
    Resources spare; ///< Expected to be free beside the members at the start of the gang.
};

/// When and where a gang that does not fit now is expected to fit.
struct GangPlan
{
    TimePoint start{};
    std::vector<GangShare> shares;
};

/// Room that a gang has on some workers from its planned start on.
struct GangReservation
{
    TaskId step; ///< The task index is ignored.
    std::uint32_t priority = 0;
    TimePoint start{};        ///< As planned first, and anew after a delay.
    std::uint32_t delays = 0; ///< Number of times that the planned start has passed.
    bool late = false;        ///< It is not expected to meet its objective.
    bool excess = false;      ///< Its job is above the guaranteed rate of its customer.
    Resources amount;
    std::vector<std::string> workers;
};

/// Time at which the run is expected to have ended; nothing if it does not end by itself.
using ExpectedEnd = std::function<std::optional<TimePoint>(const Run &)>;

/// Finds the earliest time at which \p count members fit on the candidates, provided that no
/// further work is started there and that the runs end as expected. Returns nothing if what runs
/// never frees enough room. Workers with the most free CPU are preferred, whatever their speed: the
/// gang waits until they have room, and reserved fast workers would be missing for urgent tasks
/// meanwhile.
[[nodiscard]] std::optional<GangPlan> planGang(const std::vector<Worker *> &candidates,
                                               const StepDemand &demand, std::uint32_t count,
                                               TimePoint now, const ExpectedEnd &expectedEnd);

} // namespace cowsliprock::cell
