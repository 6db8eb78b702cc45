#include "documentmodel.h"

#include <nlohmann/json.hpp>

#include <array>

namespace cowsliprock {

namespace {

using nlohmann::json;

constexpr std::array priorityNames{ "urgent", "normal", "batch" };
constexpr std::array kindNames{ "service", "batch", "gang" };

template <typename T>
void readMember(const json &source, const char *name, T &target)
{
    if (const auto member = source.find(name); member != source.end())
        target = member->get<T>();
}

void readDuration(const json &source, const char *name, Duration &target)
{
    if (const auto member = source.find(name); member != source.end())
        target = std::chrono::milliseconds(member->get<std::int64_t>());
}

template <typename T, std::size_t count>
void readEnum(const json &source, const char *name, const std::array<const char *, count> &names,
              T &target)
{
    const auto member = source.find(name);
    if (member == source.end())
        return;
    for (std::size_t index = 0; index < count; ++index) {
        if (*member == names[index])
            target = static_cast<T>(index);
    }
}

[[nodiscard]] Resources toResources(const json &source)
{
    Resources resources;
    readMember(source, "cpuMillis", resources.cpuMillis);
    readMember(source, "memoryMb", resources.memoryMb);
    readMember(source, "accelerators", resources.accelerators);
    return resources;
}

[[nodiscard]] Objectives toObjectives(const json &source)
{
    Objectives objectives;
    readDuration(source, "waitingTimeMs", objectives.waitingTime);
    readMember(source, "waitingShare", objectives.waitingShare);
    readMember(source, "deadlineShare", objectives.deadlineShare);
    readMember(source, "availability", objectives.availability);
    return objectives;
}

[[nodiscard]] ServiceDefinition toService(const json &source)
{
    ServiceDefinition service;
    readMember(source, "name", service.name);
    readMember(source, "team", service.team);
    readMember(source, "policy", service.policy);
    readEnum(source, "priority", priorityNames, service.priority);
    readMember(source, "slots", service.slots);
    readMember(source, "connections", service.connections);
    readMember(source, "queueLimit", service.queueLimit);
    readMember(source, "retryBudgetPercent", service.retryBudgetPercent);
    readDuration(source, "expectedServiceTimeMs", service.expectedServiceTime);
    readDuration(source, "defaultDeadlineMs", service.defaultDeadline);
    if (const auto objectives = source.find("objectives"); objectives != source.end())
        service.objectives = toObjectives(*objectives);
    return service;
}

[[nodiscard]] JobDefinition toJob(const json &source)
{
    JobDefinition job;
    readMember(source, "name", job.name);
    readMember(source, "team", job.team);
    readMember(source, "policy", job.policy);
    readEnum(source, "kind", kindNames, job.kind);
    readEnum(source, "priority", priorityNames, job.priority);
    readMember(source, "exclusive", job.exclusive);
    readMember(source, "mayYield", job.mayYield);
    readMember(source, "taskCount", job.taskCount);
    if (const auto perTask = source.find("perTask"); perTask != source.end())
        job.perTask = toResources(*perTask);
    readDuration(source, "expectedRunTimeMs", job.expectedRunTime);
    readDuration(source, "deadlineMs", job.deadline);
    readMember(source, "maxAttempts", job.maxAttempts);
    readMember(source, "regions", job.regions);
    readMember(source, "service", job.service);
    return job;
}

[[nodiscard]] PolicyDefinition toPolicy(const json &source)
{
    PolicyDefinition policy;
    readMember(source, "name", policy.name);
    readMember(source, "placement", policy.placement);
    readMember(source, "waitingWeight", policy.waitingWeight);
    readMember(source, "packingWeight", policy.packingWeight);
    readMember(source, "crossRegionWeight", policy.crossRegionWeight);
    return policy;
}

[[nodiscard]] TeamDefinition toTeam(const json &source)
{
    return { source.at("name"), toResources(source.at("quota")) };
}

[[nodiscard]] CallerDefinition toCaller(const json &source)
{
    return { source.at("name"), source.at("homeRegion") };
}

template <typename T>
[[nodiscard]] std::vector<T> toList(const json &document, const char *name,
                                    T (*convert)(const json &))
{
    std::vector<T> list;
    if (const auto member = document.find(name); member != document.end()) {
        list.reserve(member->size());
        for (const json &element : *member)
            list.push_back(convert(element));
    }
    return list;
}

} // namespace

Configuration toConfiguration(const nlohmann::json &document)
{
    Configuration configuration;
    configuration.services = toList(document, "services", toService);
    configuration.jobs = toList(document, "jobs", toJob);
    configuration.policies = toList(document, "policies", toPolicy);
    configuration.teams = toList(document, "teams", toTeam);
    configuration.callers = toList(document, "callers", toCaller);
    return configuration;
}

} // namespace cowsliprock
