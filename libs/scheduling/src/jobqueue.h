#pragma once

#include "job.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace cowsliprock::scheduling {

/// Amounts in use by the jobs of this home, by team.
///
/// The quota is enforced for each job home on its own: a home compares the whole quota with the
/// use of the jobs of its own partitions only. A team whose jobs have several homes can therefore
/// use its quota once at each of them. No part of the system divides the quota among the homes.
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

    /// Largest share of the quota in use over all components.
    [[nodiscard]] double dominantShare(const std::string &team) const;

private:
    const Context &m_context;
    std::map<std::string, Resources> m_used;
};

/// Jobs with queued tasks: by priority class, then lowest dominant share of the team, then
/// deadline, then arrival.
class JobQueue
{
public:
    explicit JobQueue(const TeamUsage &usage)
        : m_usage(usage)
    { }

    void add(Job &job);
    void remove(Job &job);
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

    /// First job whose next decision its team's quota allows. Passes over at most 8 jobs of a team
    /// that the quota holds back, so that the cost stays bounded.
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
