#pragma once

#include "placement.h"
#include "workertable.h"

#include <base/resources.h>
#include <base/time.h>

#include <cstdint>
#include <functional>
#include <optional>
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
