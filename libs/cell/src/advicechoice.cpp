#include "advicechoice.h"

#include <algorithm>
#include <functional>

namespace cowsliprock::cell {

namespace {

/// Maximum number of workers that the policy service accepts in one request.
constexpr std::size_t maxWorkersPerRequest = 100;
/// Requests name more workers than needed, since many of them are denied.
constexpr std::size_t spareWorkers = 4;
constexpr std::size_t workersPerTask = 3;

using Workers = std::vector<Worker *>;

Workers withRoom(Workers workers, const StepDemand &demand)
{
    std::erase_if(workers,
                  [&demand](const Worker *worker) { return availableSlots(*worker, demand) == 0; });
    return workers;
}

/// Sorts by the preferred speed and then by free CPU, highest first; workers reserved for gangs
/// come last.
Workers sortedByPreference(Workers workers, const StepDemand &demand, const AdviceDemand &need)
{
    const auto reserved = [&demand](const Worker *worker) {
        return demand.reservations != nullptr && demand.reservations->holds(worker->entry.id);
    };
    sortByFreeCpu(workers);
    sortBySpeed(workers, speedToQuery(need, demand));
    std::stable_partition(workers.begin(), workers.end(), std::not_fn(reserved));
    return workers;
}

/// The shortest prefix of \p workers with room for \p tasks; all workers if their room does not
/// suffice.
Workers prefixWithRoomFor(const Workers &workers, const StepDemand &demand, std::uint32_t tasks)
{
    Workers result;
    std::uint32_t room = 0;
    for (Worker *worker : workers) {
        if (room >= tasks)
            break;
        room += availableSlots(*worker, demand);
        result.push_back(worker);
    }
    return result;
}

std::vector<std::string> workerNames(const Workers &workers, std::size_t limit)
{
    std::vector<std::string> result;
    for (const Worker *worker : workers) {
        // A gang lists a worker once for each task placed on it.
        if (result.size() < std::min(limit, maxWorkersPerRequest)
            && std::find(result.begin(), result.end(), worker->entry.id) == result.end())
            result.push_back(worker->entry.id);
    }
    return result;
}

std::vector<std::string> chooseUnknown(const AdviceDemand &need, const StepDemand &demand,
                                       const AdviceCandidates &candidates)
{
    const auto eligible = sortedByPreference(withRoom(candidates.unknown, demand), demand, need);
    return workerNames(eligible, maxWorkersToQuery(need));
}

std::vector<std::string> chooseGangWorkers(const AdviceDemand &need, const StepDemand &demand,
                                           const AdviceCandidates &candidates)
{
    // Tickets are renewed only once the whole gang fits; its workers are then reserved.
    if (const auto chosen = chooseForGang(candidates.allowed, demand, need.tasks); !chosen.empty())
        return workerNames(chosen, maxWorkersPerRequest);
    return workerNames(sortedByPreference(candidates.unknown, demand, need),
                       maxWorkersToQuery(need));
}

std::vector<std::string> chooseTaskWorkers(const AdviceDemand &need, const StepDemand &demand,
                                           const AdviceCandidates &candidates)
{
    const auto stale = sortedByPreference(candidates.stale, demand, need);
    auto result = workerNames(prefixWithRoomFor(stale, demand, need.tasks), maxWorkersPerRequest);
    return result.empty() ? chooseUnknown(need, demand, candidates) : result;
}

} // namespace

std::size_t maxWorkersToQuery(const AdviceDemand &need)
{
    return std::min(maxWorkersPerRequest, spareWorkers + workersPerTask * need.tasks);
}

SpeedPreference speedToQuery(const AdviceDemand &need, const StepDemand &demand)
{
    return need.gang ? SpeedPreference(AnySpeed{}) : demand.speed;
}

std::vector<std::string> chooseWorkersToQuery(const AdviceDemand &need, const StepDemand &demand,
                                              const AdviceCandidates &candidates)
{
    return need.gang ? chooseGangWorkers(need, demand, candidates)
                     : chooseTaskWorkers(need, demand, candidates);
}

} // namespace cowsliprock::cell
