#include "gangplan.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Room on a worker at the time that the plan has reached.
struct Room
{
    Worker *worker = nullptr;
    Resources free;
    std::uint32_t slots = 0;
};

/// Capacity that becomes free on a worker.
struct Release
{
    TimePoint at{};
    std::size_t room = 0; ///< Index of the room.
    Resources amount;
};

bool isLater(const Release &left, const Release &right) noexcept
{
    return left.at > right.at;
}

/// Follows the room on the workers from now on, as the runs on them end.
class Timeline
{
public:
    Timeline(std::vector<Worker *> workers, const StepDemand &demand, TimePoint now)
        : m_demand(demand)
        , m_time(now)
    {
        sortByFreeCpu(workers);
        m_rooms.reserve(workers.size());
        for (Worker *worker : workers)
            m_rooms.push_back({ worker, worker->free() });
        deductKeptRooms();
        for (auto &room : m_rooms)
            updateSlots(room);
    }

    [[nodiscard]] TimePoint time() const noexcept { return m_time; }
    /// Number of members that fit on all workers together.
    [[nodiscard]] std::uint64_t slots() const noexcept { return m_slots; }

    void addEnds(const ExpectedEnd &expectedEnd)
    {
        for (std::size_t index = 0; index < m_rooms.size(); ++index) {
            for (const auto &[key, run] : m_rooms[index].worker->runs) {
                if (const auto end = expectedEnd(run))
                    m_releases.push_back({ *end, index, run.held });
            }
        }
        std::make_heap(m_releases.begin(), m_releases.end(), isLater);
    }

    /// Goes on to the next end of a run; returns false if no other run ends.
    bool advance()
    {
        if (m_releases.empty())
            return false;
        std::pop_heap(m_releases.begin(), m_releases.end(), isLater);
        const Release release = m_releases.back();
        m_releases.pop_back();
        m_time = std::max(m_time, release.at);
        m_rooms[release.room].free += release.amount;
        updateSlots(m_rooms[release.room]);
        return true;
    }

    [[nodiscard]] std::vector<GangShare> assign(std::uint32_t count) const
    {
        std::vector<GangShare> shares;
        for (const auto &room : m_rooms) {
            const auto members = std::min(room.slots, count);
            if (members > 0)
                shares.push_back(
                    { room.worker, members, room.free - heldBy(*m_demand.spec) * members });
            count -= members;
        }
        return shares;
    }

private:
    void deductKeptRooms()
    {
        if (m_demand.reservations == nullptr)
            return;
        for (std::size_t index = 0; index < m_rooms.size(); ++index) {
            auto &room = m_rooms[index];
            for (const auto &kept :
                 m_demand.reservations->roomsBefore(room.worker->entry.id, m_demand)) {
                room.free -= kept.amount;
                if (kept.until != TimePoint::max())
                    m_releases.push_back({ kept.until, index, kept.amount });
            }
        }
    }

    void updateSlots(Room &room)
    {
        const auto slots = slotsIn(room.free, *room.worker, m_demand);
        m_slots += slots;
        m_slots -= std::exchange(room.slots, slots);
    }

    const StepDemand &m_demand;
    TimePoint m_time;
    std::vector<Room> m_rooms;
    std::vector<Release> m_releases; ///< A heap, the earliest first, once all are added.
    std::uint64_t m_slots = 0;
};

} // namespace

std::optional<GangPlan> planGang(const std::vector<Worker *> &candidates, const StepDemand &demand,
                                 std::uint32_t count, TimePoint now, const ExpectedEnd &expectedEnd)
{
    Timeline timeline(candidates, demand, now);
    if (timeline.slots() < count)
        timeline.addEnds(expectedEnd);
    while (timeline.slots() < count) {
        if (!timeline.advance())
            return std::nullopt;
    }
    return GangPlan{ timeline.time(), timeline.assign(count) };
}

} // namespace cowsliprock::cell
