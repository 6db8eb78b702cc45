#pragma once

#include <variant>

namespace cowsliprock::cell {

/// Jobs that can still meet their objective first, then by priority, then by arrival.
struct UrgencyOrder
{ };
/// First come, first served.
struct ArrivalOrder
{ };
using JobOrder = std::variant<UrgencyOrder, ArrivalOrder>;

/// Prefers the worker that is left with the least free capacity, which keeps whole workers free for
/// large tasks.
struct BestFit
{ };
/// Takes the first worker with room.
struct FirstFit
{ };
using WorkerFit = std::variant<BestFit, FirstFit>;

/// Ordering of jobs and choice of workers. Daemons use the defaults; the alternatives serve as
/// baselines in comparisons.
struct PlacementPolicy
{
    JobOrder order;
    WorkerFit fit;
};

} // namespace cowsliprock::cell
