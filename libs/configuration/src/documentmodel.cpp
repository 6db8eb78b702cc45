#include "documentmodel.h"

#include <nlohmann/json.hpp>

#include <array>

namespace cowsliprock {

namespace {

using nlohmann::json;

constexpr std::array priorityWords{ "urgent", "normal", "batch" };
constexpr std::array kindWords{ "service", "batch", "gang" };

template <typename T>
void take(const json &source, const char *name, T &target)
{
    if (const auto member = source.find(name); member != source.end())
        target = member->get<T>();
}

void takeTime(const json &source, const char *name, Duration &target)
{
    if (const auto member = source.find(name); member != source.end())
        target = std::chrono::milliseconds(member->get<std::int64_t>());
}

template <typename T, std::size_t count>
void takeWord(const json &source, const char *name, const std::array<const char *, count> &words,
              T &target)
{
    const auto member = source.find(name);
    if (member == source.end())
        return;
    for (std::size_t index = 0; index < count; ++index) {
        if (*member == words[index])
            target = static_cast<T>(index);
    }
}

[[nodiscard]] Resources toResources(const json &source)
{
    Resources resources;
    take(source, "cpuMillis", resources.cpuMillis);
    take(source, "memoryMb", resources.memoryMb);
    take(source, "accelerators", resources.accelerators);
    return resources;
}

[[nodiscard]] Objectives toObjectives(const json &source)
{
    Objectives objectives;
    takeTime(source, "waitingTimeMs", objectives.waitingTime);
    take(source, "waitingShare", objectives.waitingShare);
    take(source, "deadlineShare", objectives.deadlineShare);
    take(source, "availability", objectives.availability);
    return objectives;
}

[[nodiscard]] ServiceDefinition toService(const json &source)
{
    ServiceDefinition service;
    take(source, "name", service.name);
    take(source, "team", service.team);
    take(source, "policy", service.policy);
    takeWord(source, "priority", priorityWords, service.priority);
    take(source, "slots", service.slots);
    take(source, "connections", service.connections);
    take(source, "queueLimit", service.queueLimit);
    take(source, "retryBudgetPercent", service.retryBudgetPercent);
    takeTime(source, "expectedServiceTimeMs", service.expectedServiceTime);
    takeTime(source, "defaultDeadlineMs", service.defaultDeadline);
    if (const auto objectives = source.find("objectives"); objectives != source.end())
        service.objectives = toObjectives(*objectives);
    return service;
}

[[nodiscard]] JobDefinition toJob(const json &source)
{
    JobDefinition job;
    take(source, "name", job.name);
    take(source, "team", job.team);
    take(source, "policy", job.policy);
    takeWord(source, "kind", kindWords, job.kind);
    takeWord(source, "priority", priorityWords, job.priority);
    take(source, "exclusive", job.exclusive);
    take(source, "mayYield", job.mayYield);
    take(source, "taskCount", job.taskCount);
    if (const auto perTask = source.find("perTask"); perTask != source.end())
        job.perTask = toResources(*perTask);
    takeTime(source, "expectedRunTimeMs", job.expectedRunTime);
    takeTime(source, "deadlineMs", job.deadline);
    take(source, "maxAttempts", job.maxAttempts);
    take(source, "regions", job.regions);
    take(source, "service", job.service);
    return job;
}

[[nodiscard]] PolicyDefinition toPolicy(const json &source)
{
    PolicyDefinition policy;
    take(source, "name", policy.name);
    take(source, "placement", policy.placement);
    take(source, "waitingWeight", policy.waitingWeight);
    take(source, "packingWeight", policy.packingWeight);
    take(source, "crossRegionWeight", policy.crossRegionWeight);
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
