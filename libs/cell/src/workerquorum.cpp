#include "workerquorum.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace cowsliprock::cell {

void WorkerQuorum::rosterWritten(std::uint64_t version, Workers workers)
{
    m_rosters.insert_or_assign(version, std::move(workers));
}

void WorkerQuorum::rosterStored(std::uint64_t version)
{
    m_rosters.erase(m_rosters.begin(), m_rosters.lower_bound(version));
}

void WorkerQuorum::accepted(const std::string &worker, std::int64_t born, TimePoint requestedAt,
                            bool confirmed)
{
    if (confirmed) {
        m_acceptances.insert_or_assign(worker, Acceptance{ born, requestedAt });
        return;
    }
    const auto former = m_acceptances.find(worker);
    if (former != m_acceptances.end() && former->second.born == born)
        former->second.requestedAt = std::max(former->second.requestedAt, requestedAt);
}

std::optional<TimePoint> WorkerQuorum::obeyedAt() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[version, roster] : m_rosters) {
        const auto time = obeyedAt(roster);
        if (!time)
            return std::nullopt;
        earliest = std::min(earliest.value_or(*time), *time);
    }
    return earliest;
}

std::optional<TimePoint> WorkerQuorum::obeyedAt(const Workers &roster) const
{
    std::vector<TimePoint> times;
    for (const auto &worker : roster) {
        if (const auto entry = m_acceptances.find(worker); entry != m_acceptances.end())
            times.push_back(entry->second.requestedAt);
    }
    const auto needed = extensionQuorum(roster.size());
    if (times.size() < needed)
        return std::nullopt;
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(times.begin(), last, times.end(), std::greater<>());
    return *last;
}

} // namespace cowsliprock::cell
