#include "advicechoice.h"

#include <algorithm>
#include <functional>

namespace cowsliprock::cell {

namespace {

/// The policy service takes no more at a time.
constexpr std::size_t maxAsked = 100;
/// Workers asked about beyond those that are needed, since many are not allowed.
constexpr std::size_t spareWorkers = 4;
constexpr std::size_t workersPerTask = 3;

using Workers = std::vector<Worker *>;

Workers withRoom(Workers workers, const StepDemand &demand)
{
    std::erase_if(workers,
                  [&demand](const Worker *worker) { return roomFor(*worker, demand) == 0; });
    return workers;
}

/// Most free first; workers that are kept for gangs come last.
Workers byPreference(Workers workers, const StepDemand &demand)
{
    const auto kept = [&demand](const Worker *worker) {
        return demand.reservations != nullptr && demand.reservations->holds(worker->entry.id);
    };
    std::stable_sort(workers.begin(), workers.end(), [](const Worker *left, const Worker *right) {
        return left->free().cpuMillis > right->free().cpuMillis;
    });
    std::stable_partition(workers.begin(), workers.end(), std::not_fn(kept));
    return workers;
}

/// The first workers that together have room for \p tasks; all if there is less.
Workers untilRoomFor(const Workers &workers, const StepDemand &demand, std::uint32_t tasks)
{
    Workers result;
    std::uint32_t room = 0;
    for (Worker *worker : workers) {
        if (room >= tasks)
            break;
        room += roomFor(*worker, demand);
        result.push_back(worker);
    }
    return result;
}

std::vector<std::string> names(const Workers &workers, std::size_t limit)
{
    std::vector<std::string> result;
    for (const Worker *worker : workers) {
        // A gang's workers are named once for each of its tasks.
        if (result.size() < std::min(limit, maxAsked)
            && std::find(result.begin(), result.end(), worker->entry.id) == result.end())
            result.push_back(worker->entry.id);
    }
    return result;
}

std::vector<std::string> askUnknown(const AdviceNeed &need, const StepDemand &demand,
                                    const AdviceCandidates &candidates)
{
    const auto open = byPreference(withRoom(candidates.unknown, demand), demand);
    return names(open, mostToAskAbout(need));
}

std::vector<std::string> askForGang(const AdviceNeed &need, const StepDemand &demand,
                                    const AdviceCandidates &candidates)
{
    // Tickets are renewed once the whole gang has room, which is then kept for it.
    if (const auto chosen = chooseForGang(candidates.allowed, demand, need.tasks); !chosen.empty())
        return names(chosen, maxAsked);
    return names(byPreference(candidates.unknown, demand), mostToAskAbout(need));
}

std::vector<std::string> askForTasks(const AdviceNeed &need, const StepDemand &demand,
                                     const AdviceCandidates &candidates)
{
    const auto stale = byPreference(candidates.stale, demand);
    auto result = names(untilRoomFor(stale, demand, need.tasks), maxAsked);
    return result.empty() ? askUnknown(need, demand, candidates) : result;
}

} // namespace

std::size_t mostToAskAbout(const AdviceNeed &need)
{
    return std::min(maxAsked, spareWorkers + workersPerTask * need.tasks);
}

std::vector<std::string> chooseToAskAbout(const AdviceNeed &need, const StepDemand &demand,
                                          const AdviceCandidates &candidates)
{
    return need.gang ? askForGang(need, demand, candidates) : askForTasks(need, demand, candidates);
}

} // namespace cowsliprock::cell
