#pragma once

#include <variant>

namespace cowsliprock::cell {

/// Jobs that can still end in time go first, then by priority, then by arrival.
struct UrgencyOrder
{ };
/// First come, first served.
struct ArrivalOrder
{ };
using JobOrder = std::variant<UrgencyOrder, ArrivalOrder>;

/// The worker that is left with the least room, so that large tasks find whole workers.
struct BestFit
{ };
/// Any worker with room.
struct FirstFit
{ };
using WorkerFit = std::variant<BestFit, FirstFit>;

/// How jobs and workers are chosen. The defaults are what daemons use; the others are there to be
/// compared with.
struct PlacementPolicy
{
    JobOrder order;
    WorkerFit fit;
};

} // namespace cowsliprock::cell
