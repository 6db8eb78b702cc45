#include "reservations.h"

#include "placement.h"

#include <algorithm>
#include <iterator>

namespace cowsliprock::cell {

namespace {

/// True if the step has to leave the room to another gang, however long its tasks run.
bool precedes(const KeptRoom &room, const StepDemand &demand)
{
    return room.priority <= demand.priority && !sameStep(room.gang, demand.step)
        && !(room.late && demand.spec->gang) && (!room.excess || demand.excess);
}

} // namespace

bool sameStep(const TaskId &left, const TaskId &right)
{
    return left.step == right.step && left.occurrence == right.occurrence && left.job == right.job;
}

void Reservations::keep(const std::string &worker, const KeptRoom &room)
{
    m_entries[worker].kept.push_back(room);
}

void Reservations::release(const TaskId &gang)
{
    for (auto &[worker, entry] : m_entries) {
        std::erase_if(entry.kept,
                      [&gang](const KeptRoom &room) { return sameStep(room.gang, gang); });
    }
}

void Reservations::taskStarted(const std::string &worker, const Resources &held,
                               TimePoint expectedEnd)
{
    const auto entry = m_entries.find(worker);
    if (entry == m_entries.end())
        return;
    for (auto &room : entry->second.kept) {
        if (expectedEnd > room.from)
            room.spare -= held;
    }
}

bool Reservations::holds(const std::string &worker) const
{
    const auto entry = m_entries.find(worker);
    return entry != m_entries.end() && !entry->second.kept.empty();
}

std::vector<KeptRoom> Reservations::roomsBefore(const std::string &worker,
                                                const StepDemand &demand) const
{
    std::vector<KeptRoom> result;
    if (const auto entry = m_entries.find(worker); entry != m_entries.end()) {
        const auto &kept = entry->second.kept;
        std::copy_if(kept.begin(), kept.end(), std::back_inserter(result),
                     [&demand](const KeptRoom &room) { return precedes(room, demand); });
    }
    return result;
}

std::size_t Reservations::workers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &entry) { return !entry.second.kept.empty(); }));
}

void Reservations::setAside(const std::string &worker, const Resources &amount)
{
    m_entries[worker].setAside += amount;
}

Resources Reservations::availableTo(const StepDemand &demand, const Worker &worker,
                                    Resources free) const
{
    const auto entry = m_entries.find(worker.entry.id);
    if (entry == m_entries.end())
        return free;
    free -= entry->second.setAside;
    for (const auto &room : entry->second.kept) {
        if (precedes(room, demand) && demand.expectedEnd > room.from)
            free = leastOf(free, room.spare);
    }
    return free;
}

} // namespace cowsliprock::cell
