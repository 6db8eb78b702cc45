#include "semanticcheck.h"

#include <map>

namespace cowsliprock {

namespace {

using Names = std::map<std::string, std::size_t>;

class SemanticCheck
{
public:
    SemanticCheck(const Configuration &configuration, const ConfigurationContext &context)
        : m_configuration(configuration)
        , m_context(context)
    { }

    [[nodiscard]] std::vector<DocumentError> run()
    {
        m_services = uniqueNames("services", m_configuration.services);
        uniqueNames("jobs", m_configuration.jobs);
        m_policies = uniqueNames("policies", m_configuration.policies);
        m_teams = uniqueNames("teams", m_configuration.teams);
        uniqueNames("callers", m_configuration.callers);
        for (const auto &name : m_context.regions)
            m_regions.emplace(name, 0);
        for (const auto &name : m_context.placementPolicies)
            m_placements.emplace(name, 0);

        forEach("services", m_configuration.services, &SemanticCheck::checkService);
        forEach("jobs", m_configuration.jobs, &SemanticCheck::checkJob);
        forEach("policies", m_configuration.policies, &SemanticCheck::checkPolicy);
        forEach("callers", m_configuration.callers, &SemanticCheck::checkCaller);
        return std::move(m_errors);
    }

private:
    template <typename T>
    Names uniqueNames(const char *list, const std::vector<T> &elements)
    {
        Names names;
        for (std::size_t index = 0; index < elements.size(); ++index) {
            const auto [first, added] = names.emplace(elements[index].name, index);
            if (!added)
                addError(elementPath(list, index) + "/name",
                         "'" + elements[index].name + "' is also the name of "
                             + elementPath(list, first->second) + "; names must be unique");
        }
        return names;
    }

    template <typename T>
    void forEach(const char *list, const std::vector<T> &elements,
                 void (SemanticCheck::*check)(const T &, const std::string &))
    {
        for (std::size_t index = 0; index < elements.size(); ++index)
            (this->*check)(elements[index], elementPath(list, index));
    }

    void checkService(const ServiceDefinition &service, const std::string &path)
    {
        checkReference(path + "/team", service.team, m_teams, "team");
        checkReference(path + "/policy", service.policy, m_policies, "policy");
        if (service.slots > service.connections)
            addError(path + "/slots",
                     "is " + std::to_string(service.slots)
                         + "; must be at most connections, which is "
                         + std::to_string(service.connections));
    }

    void checkJob(const JobDefinition &job, const std::string &path)
    {
        checkReference(path + "/team", job.team, m_teams, "team");
        checkReference(path + "/policy", job.policy, m_policies, "policy");
        if (job.kind == JobKind::Service && !job.service.empty())
            checkReference(path + "/service", job.service, m_services, "service");
        for (std::size_t index = 0; index < job.regions.size(); ++index)
            checkRegion(path + "/regions/" + std::to_string(index), job.regions[index]);
        for (auto &error : checkJobFields(job, path))
            m_errors.push_back(std::move(error));
        checkQuota(job, path);
    }

    void checkQuota(const JobDefinition &job, const std::string &path)
    {
        const auto team = m_teams.find(job.team);
        if (team == m_teams.end())
            return;
        const Resources &quota = m_configuration.teams[team->second].quota;
        const bool gang = job.kind == JobKind::Gang;
        const Resources needed = job.perTask * (gang ? job.taskCount : 1);
        if (!needed.fitsIn(quota))
            addError(path + "/perTask",
                     std::string("the quota of team '") + job.team + "' ("
                         + elementPath("teams", team->second) + "/quota) must hold at least "
                         + (gang ? "all tasks of this gang" : "one task") + ": cpuMillis "
                         + std::to_string(needed.cpuMillis) + ", memoryMb "
                         + std::to_string(needed.memoryMb) + ", accelerators "
                         + std::to_string(needed.accelerators));
    }

    void checkPolicy(const PolicyDefinition &policy, const std::string &path)
    {
        checkReference(path + "/placement", policy.placement, m_placements, "placement policy");
    }

    void checkCaller(const CallerDefinition &caller, const std::string &path)
    {
        checkRegion(path + "/homeRegion", caller.homeRegion);
    }

    void checkRegion(const std::string &path, const std::string &name)
    {
        if (!m_regions.empty())
            checkReference(path, name, m_regions, "region");
    }

    void checkReference(const std::string &path, const std::string &name, const Names &known,
                        const char *kind)
    {
        if (!known.contains(name))
            addError(path,
                     std::string("no ") + kind + " is named '" + name + "'; must be "
                         + formatNames(known));
    }

    /// Formats names for an error message, truncated because there may be hundreds.
    [[nodiscard]] static std::string formatNames(const Names &names)
    {
        if (names.empty())
            return "defined first (none is)";
        constexpr std::size_t maxListedNames = 12;
        std::string text = "one of";
        std::size_t count = 0;
        for (const auto &[name, index] : names) {
            if (count++ == maxListedNames)
                return text + " and " + std::to_string(names.size() - maxListedNames) + " more";
            text += (count == 1 ? " " : ", ") + name;
        }
        return text;
    }

    [[nodiscard]] static std::string elementPath(const char *list, std::size_t index)
    {
        return std::string("/") + list + "/" + std::to_string(index);
    }

    void addError(std::string path, std::string message)
    {
        m_errors.push_back({ std::move(path), std::move(message) });
    }

    const Configuration &m_configuration;
    const ConfigurationContext &m_context;
    Names m_services;
    Names m_policies;
    Names m_teams;
    Names m_regions;
    Names m_placements;
    std::vector<DocumentError> m_errors;
};

} // namespace

std::vector<DocumentError> checkJobFields(const JobDefinition &job, const std::string &path)
{
    std::vector<DocumentError> errors;
    if (job.kind == JobKind::Service && job.service.empty())
        errors.push_back({ path + "/service", "missing; a job of kind service must name one" });
    if (job.kind != JobKind::Service && !job.service.empty())
        errors.push_back({ path + "/service", "only a job of kind service may name a service" });
    if (job.deadline > Duration::zero() && job.expectedRunTime > job.deadline)
        errors.push_back({ path + "/deadlineMs", "must be at least expectedRunTimeMs, or 0" });
    return errors;
}

std::vector<DocumentError> checkSemantics(const Configuration &configuration,
                                          const ConfigurationContext &context)
{
    return SemanticCheck(configuration, context).run();
}

} // namespace cowsliprock
