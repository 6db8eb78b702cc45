#include "placement.h"

#include "workerspeeds.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>

namespace cowsliprock::cell {

namespace {

/// More urgent work uses a worker reserved for a gang only if no other has room, since a single
/// task there would delay the whole gang.
constexpr double reservedPenalty = 500.0;
/// A worker outside the preferred rack is used only if none inside it has room.
constexpr double remotePenalty = 1000.0;
/// Cost of one rank of speed. The sum over all ranks is below the other penalties.
constexpr double speedRankPenalty = 60.0;
/// With unlike speeds the best fit decides between workers of one class only.
constexpr double fitShareBesideSpeed = 0.2;
/// Headroom is at most one part in this many of a worker.
constexpr std::int64_t headroomDivisor = 4;
/// Members of a gang whose speeds differ by this many classes are still alike, since estimates are
/// not exact.
constexpr int alikeClasses = 1;

std::int64_t quotient(std::int64_t amount, std::int64_t each) noexcept
{
    if (each <= 0)
        return std::numeric_limits<std::int32_t>::max();
    return std::max<std::int64_t>(0, amount / each);
}

std::uint32_t slotCount(const Resources &room, const Resources &each) noexcept
{
    const auto count =
        std::min({ quotient(room.cpuMillis, each.cpuMillis), quotient(room.memoryMb, each.memoryMb),
                   quotient(room.accelerators, each.accelerators) });
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(count, std::numeric_limits<std::int32_t>::max()));
}

std::uint32_t applySpreadLimit(const Worker &worker, const StepDemand &demand, std::uint32_t room)
{
    const auto limit = demand.spec->maxPerWorker;
    if (limit == 0 || room == 0)
        return room;
    const auto present =
        std::count_if(worker.runs.begin(), worker.runs.end(), [&demand](const auto &entry) {
            return sameStep(entry.first.first, demand.step);
        });
    const auto used = static_cast<std::uint32_t>(present);
    return used >= limit ? 0 : std::min(room, limit - used);
}

Resources headroomOn(const Worker &worker, const StepDemand &demand)
{
    const auto &headroom = demand.fastHeadroom;
    const auto &capacity = worker.entry.capacity;
    return { std::min(headroom.cpuMillis, capacity.cpuMillis / headroomDivisor),
             std::min(headroom.memoryMb, capacity.memoryMb / headroomDivisor),
             std::min(headroom.accelerators, capacity.accelerators / headroomDivisor) };
}

/// Number of further tasks of the step that fit on the worker while \p free is free there, without
/// what is reserved for other work; null: nothing is.
std::uint32_t slotsBeside(const Reservations *reservations, Resources free, const Worker &worker,
                          const StepDemand &demand)
{
    // A worker that has shrunk below its tasks receives no others, whatever they need.
    if (!Resources().fitsIn(free))
        return 0;
    if (worker.speedClass > 0)
        free -= headroomOn(worker, demand);
    if (reservations != nullptr)
        free = reservations->availableTo(demand, worker, free);
    return applySpreadLimit(worker, demand, slotCount(free, heldBy(*demand.spec)));
}

bool hasLabel(const WorkerEntry &entry, const std::string &label)
{
    return std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
}

/// Best-fit penalty: the capacity that would stay free after placing a task, in percent, summed
/// over the resources.
double leftoverScore(const Worker &worker, const StepDemand &demand)
{
    const Resources remaining = worker.free() - heldBy(*demand.spec);
    const auto share = [](std::int64_t amount, std::int64_t capacity) {
        return capacity > 0 ? static_cast<double>(amount) / static_cast<double>(capacity) : 0.0;
    };
    const auto &capacity = worker.entry.capacity;
    return 100.0
        * (share(remaining.cpuMillis, capacity.cpuMillis)
           + share(remaining.memoryMb, capacity.memoryMb)
           + share(remaining.accelerators, capacity.accelerators));
}

double cost(const Worker &worker, const StepDemand &demand)
{
    double result =
        std::holds_alternative<BestFit>(demand.fit) ? leftoverScore(worker, demand) : 0.0;
    if (!std::holds_alternative<AnySpeed>(demand.speed)) {
        result = fitShareBesideSpeed * result
            + speedRankPenalty * speedRank(demand.speed, worker.speedClass);
    }
    if (!demand.spec->preferredRack.empty() && !hasLabel(worker.entry, demand.spec->preferredRack))
        result += remotePenalty;
    if (demand.reservations != nullptr && demand.reservations->holds(worker.entry.id))
        result += reservedPenalty;
    return result;
}

std::vector<Worker *> sortedByCost(std::vector<Worker *> workers, const StepDemand &demand)
{
    std::vector<std::pair<double, Worker *>> keyed;
    keyed.reserve(workers.size());
    for (Worker *worker : workers)
        keyed.emplace_back(cost(*worker, demand), worker);
    std::stable_sort(keyed.begin(), keyed.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    for (std::size_t index = 0; index < keyed.size(); ++index)
        workers[index] = keyed[index].second;
    return workers;
}

/// Assigns tasks to the workers in order until \p count tasks are placed; returns nothing if they
/// do not fit.
std::vector<Worker *> assignToFreeSlots(const std::vector<Worker *> &workers,
                                        const StepDemand &demand, std::uint32_t count)
{
    std::vector<Worker *> chosen;
    for (Worker *worker : workers) {
        const std::uint32_t slots = std::min<std::uint32_t>(
            availableSlots(*worker, demand), count - static_cast<std::uint32_t>(chosen.size()));
        chosen.insert(chosen.end(), slots, worker);
        if (chosen.size() == count)
            return chosen;
    }
    return {};
}

/// Chooses the slowest of the workers that are as fast as the slowest one of \p fastest, which the
/// gang would wait for in any case.
std::vector<Worker *> chooseAlike(const std::vector<Worker *> &candidates,
                                  const std::vector<Worker *> &fastest, StepDemand demand)
{
    const auto slowest = std::min_element(fastest.begin(), fastest.end(),
                                          [](const Worker *left, const Worker *right) {
                                              return left->speedClass < right->speedClass;
                                          });
    const int limit = (*slowest)->speedClass - alikeClasses;
    std::vector<Worker *> eligible;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(eligible),
                 [limit](const Worker *worker) { return worker->speedClass >= limit; });
    demand.speed = SlowestFirst{};
    return assignToFreeSlots(sortedByCost(std::move(eligible), demand), demand,
                             static_cast<std::uint32_t>(fastest.size()));
}

/// The rack is the last label of a worker.
std::string rackOf(const Worker &worker)
{
    return worker.entry.labels.empty() ? std::string() : worker.entry.labels.back();
}

std::vector<Worker *> chooseInOneRack(const std::vector<Worker *> &workers,
                                      const StepDemand &demand, std::uint32_t count)
{
    std::map<std::string, std::vector<Worker *>> racks;
    for (Worker *worker : workers)
        racks[rackOf(*worker)].push_back(worker);
    for (const auto &[rack, members] : racks) {
        auto chosen = assignToFreeSlots(members, demand, count);
        if (!chosen.empty())
            return chosen;
    }
    return {};
}

} // namespace

int speedRank(const SpeedPreference &preference, int speedClass) noexcept
{
    if (std::holds_alternative<FastestFirst>(preference))
        return maxSpeedClass - speedClass;
    return std::holds_alternative<SlowestFirst>(preference) ? maxSpeedClass + speedClass : 0;
}

void sortByFreeCpu(std::vector<Worker *> &workers)
{
    std::stable_sort(workers.begin(), workers.end(), [](const Worker *left, const Worker *right) {
        return left->free().cpuMillis > right->free().cpuMillis;
    });
}

void sortBySpeed(std::vector<Worker *> &workers, const SpeedPreference &preference)
{
    if (std::holds_alternative<AnySpeed>(preference))
        return;
    std::stable_sort(workers.begin(), workers.end(),
                     [&preference](const Worker *left, const Worker *right) {
                         return speedRank(preference, left->speedClass)
                             < speedRank(preference, right->speedClass);
                     });
}

bool isCompatible(const Worker &worker, const StepDemand &demand)
{
    return worker.entry.service == demand.service
        && (demand.spec->requiredLabel.empty()
            || hasLabel(worker.entry, demand.spec->requiredLabel));
}

std::uint32_t availableSlots(const Worker &worker, const StepDemand &demand)
{
    return slotsBeside(demand.reservations, worker.free(), worker, demand);
}

std::uint32_t slotsIn(const Resources &free, const Worker &worker, const StepDemand &demand)
{
    return slotsBeside(nullptr, free, worker, demand);
}

Worker *chooseForTask(const std::vector<Worker *> &candidates, const StepDemand &demand,
                      const Task &task)
{
    Worker *best = nullptr;
    double bestCost = 0;
    for (Worker *worker : candidates) {
        if (availableSlots(*worker, demand) == 0)
            continue;
        double candidateCost = cost(*worker, demand);
        // Workers on which the task failed or fell behind are used only as a last resort.
        if (std::find(task.avoidedWorkers.begin(), task.avoidedWorkers.end(), worker->entry.id)
            != task.avoidedWorkers.end()) {
            candidateCost += 2 * remotePenalty;
        }
        if (best == nullptr || candidateCost < bestCost) {
            best = worker;
            bestCost = candidateCost;
        }
    }
    return best;
}

std::vector<Worker *> chooseForGang(const std::vector<Worker *> &candidates,
                                    const StepDemand &demand, std::uint32_t count)
{
    const auto ordered = sortedByCost(candidates, demand);
    if (demand.spec->sameRack) {
        if (auto chosen = chooseInOneRack(ordered, demand, count); !chosen.empty())
            return chosen;
    }
    auto chosen = assignToFreeSlots(ordered, demand, count);
    if (chosen.empty() || !std::holds_alternative<FastestFirst>(demand.speed))
        return chosen;
    return chooseAlike(candidates, chosen, demand);
}

} // namespace cowsliprock::cell
