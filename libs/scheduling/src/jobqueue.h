#pragma once

#include "job.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace cowsliprock::scheduling {

/// Resources in use by the jobs of this home, per team.
///
/// The quota is enforced separately by each job home: a home compares the full quota with the
/// usage of the jobs in its own partitions only. A team whose jobs have several homes can therefore
/// use its full quota at each of them. The quota is not divided among the homes.
class TeamUsage
{
public:
    explicit TeamUsage(const Context &context)
        : m_context(context)
    { }

    void add(const std::string &team, const Resources &amount) { m_used[team] += amount; }
    void remove(const std::string &team, const Resources &amount) { m_used[team] -= amount; }

    [[nodiscard]] Resources quota(const std::string &team) const;
    [[nodiscard]] bool allows(const std::string &team, const Resources &amount) const;

    /// Dominant resource share: the largest share of the quota in use over all resources.
    [[nodiscard]] double dominantShare(const std::string &team) const;

private:
    const Context &m_context;
    std::map<std::string, Resources> m_used;
};

/// Queue of jobs with queued tasks, ordered by priority class, then dominant share of the team
/// (lowest first), then deadline, then arrival.
class JobQueue
{
public:
    explicit JobQueue(const TeamUsage &usage)
        : m_usage(usage)
    { }

    void add(Job &job);
    void remove(Job &job);
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

    /// Returns the first job whose next scheduling decision fits the quota of its team. Examines at
    /// most 8 jobs per team, which bounds the cost if a team has exhausted its quota.
    [[nodiscard]] std::optional<JobId>
    next(const std::function<const Job &(const JobId &)> &job) const;

private:
    using Key = std::tuple<TimePoint, std::uint64_t, JobId>;
    using Teams = std::map<std::string, std::set<Key>>;

    [[nodiscard]] std::optional<JobId>
    nextOfTeam(const std::set<Key> &jobs,
               const std::function<const Job &(const JobId &)> &job) const;

    const TeamUsage &m_usage;
    std::array<Teams, 3> m_classes;
    std::size_t m_size = 0;
};

} // namespace cowsliprock::scheduling
