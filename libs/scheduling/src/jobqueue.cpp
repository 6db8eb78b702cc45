#include "jobqueue.h"

#include <algorithm>
#include <vector>

namespace cowsliprock::scheduling {

namespace {

constexpr std::size_t jobsExaminedPerTeam = 8;

} // namespace

Resources TeamUsage::quota(const std::string &team) const
{
    if (!m_context.configuration)
        return {};
    const auto &teams = m_context.configuration->teams;
    const auto iterator = std::find_if(teams.begin(), teams.end(),
                                       [&](const auto &entry) { return entry.name == team; });
    return iterator == teams.end() ? Resources{} : iterator->quota;
}

bool TeamUsage::allows(const std::string &team, const Resources &amount) const
{
    const auto used = m_used.find(team);
    return (used == m_used.end() ? amount : used->second + amount).fitsIn(quota(team));
}

double TeamUsage::dominantShare(const std::string &team) const
{
    const auto used = m_used.find(team);
    if (used == m_used.end())
        return 0;
    const Resources limit = quota(team);
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    return std::max({ share(used->second.cpuMillis, limit.cpuMillis),
                      share(used->second.memoryMb, limit.memoryMb),
                      share(used->second.accelerators, limit.accelerators) });
}

void JobQueue::add(Job &job)
{
    if (job.queue == this)
        return;
    if (job.queue != nullptr)
        job.queue->remove(job);
    job.queue = this;
    ++m_size;
    m_classes[static_cast<std::size_t>(job.definition().priority)][job.definition().team].emplace(
        job.deadlineAt, job.arrival, job.accepted.id);
}

void JobQueue::remove(Job &job)
{
    if (job.queue != this)
        return;
    job.queue = nullptr;
    --m_size;
    Teams &teams = m_classes[static_cast<std::size_t>(job.definition().priority)];
    const auto team = teams.find(job.definition().team);
    team->second.erase({ job.deadlineAt, job.arrival, job.accepted.id });
    if (team->second.empty())
        teams.erase(team);
}

std::optional<JobId>
JobQueue::nextOfTeam(const std::set<Key> &jobs,
                     const std::function<const Job &(const JobId &)> &job) const
{
    std::size_t examined = 0;
    for (const auto &key : jobs) {
        const Job &candidate = job(std::get<JobId>(key));
        if (m_usage.allows(candidate.definition().team, candidate.nextDemand()))
            return candidate.accepted.id;
        if (++examined == jobsExaminedPerTeam)
            break;
    }
    return std::nullopt;
}

std::optional<JobId> JobQueue::next(const std::function<const Job &(const JobId &)> &job) const
{
    for (const Teams &teams : m_classes) {
        std::vector<std::pair<double, const std::set<Key> *>> order;
        for (const auto &[team, jobs] : teams)
            order.emplace_back(m_usage.dominantShare(team), &jobs);
        std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
            return std::pair(left.first, *left.second->begin())
                < std::pair(right.first, *right.second->begin());
        });
        for (const auto &[share, jobs] : order) {
            if (auto result = nextOfTeam(*jobs, job))
                return result;
        }
    }
    return std::nullopt;
}

} // namespace cowsliprock::scheduling
