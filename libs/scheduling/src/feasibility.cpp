#include "feasibility.h"

#include "jobqueue.h"

#include <algorithm>

namespace cowsliprock::scheduling {

namespace {

constexpr std::uint32_t maximumTasks = 10'000;

/// Number of inter-region heartbeat intervals after which the worker types of all regions are
/// assumed to be known.
constexpr unsigned farHeartbeats = 3;

bool regionAllowed(const JobDefinition &definition, const std::string &region)
{
    const auto &regions = definition.regions;
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

std::vector<Resources> knownTypes(const JobDefinition &definition, const Context &context,
                                  const WorkerLedger &ledger)
{
    std::vector<Resources> types;
    if (regionAllowed(definition, context.settings.location.region))
        types = ledger.workerTypes();
    for (const auto &[name, status] : context.peers) {
        if (!regionAllowed(definition, status.location.region))
            continue;
        const auto &reportedTypes = status.load.workerTypes;
        types.insert(types.end(), reportedTypes.begin(), reportedTypes.end());
        if (status.load.largestFree != Resources{})
            types.push_back(status.load.largestFree);
    }
    return types;
}

std::string describe(const Resources &amount)
{
    return std::to_string(amount.cpuMillis) + " thousandths of a processor, "
        + std::to_string(amount.memoryMb) + " MB and " + std::to_string(amount.accelerators)
        + " accelerators";
}

void checkValues(const JobDefinition &definition, std::vector<std::string> &reasons)
{
    const Resources &task = definition.perTask;
    if (definition.taskCount == 0 || definition.taskCount > maximumTasks)
        reasons.push_back("taskCount must be between 1 and " + std::to_string(maximumTasks));
    if (task.cpuMillis < 0 || task.memoryMb < 0 || task.accelerators < 0)
        reasons.emplace_back("perTask must not be negative");
    if (task == Resources{})
        reasons.emplace_back("perTask is empty");
    if (definition.maxAttempts == 0)
        reasons.emplace_back("maxAttempts must be at least 1");
}

void checkReferences(const JobDefinition &definition, const Context &context,
                     std::vector<std::string> &reasons)
{
    if (const auto policy = context.policy(definition.policy); !policy)
        reasons.push_back("unknown policy " + definition.policy);
    else if (PolicyRegistry::instance().find(policy->placement) == nullptr)
        reasons.push_back("unknown placement " + policy->placement);
    for (const auto &region : definition.regions) {
        if (context.dataCentres(region).empty())
            reasons.push_back("unknown region " + region);
    }
    const auto &services = context.configuration->services;
    const bool known = std::any_of(services.begin(), services.end(), [&](const auto &service) {
        return service.name == definition.service;
    });
    if (definition.kind == JobKind::Service && !known)
        reasons.push_back("unknown service " + definition.service);
}

void checkQuota(const JobDefinition &definition, const Context &context,
                std::vector<std::string> &reasons)
{
    const auto &teams = context.configuration->teams;
    const auto team = std::find_if(teams.begin(), teams.end(), [&](const auto &entry) {
        return entry.name == definition.team;
    });
    if (team == teams.end()) {
        reasons.push_back("unknown team " + definition.team);
        return;
    }
    const bool gang = definition.kind == JobKind::Gang;
    const Resources needed = definition.perTask * (gang ? definition.taskCount : 1);
    if (!needed.fitsIn(team->quota))
        reasons.push_back(std::string(gang ? "the gang" : "a task") + " needs " + describe(needed)
                          + ", the quota of team " + definition.team + " is "
                          + describe(team->quota));
}

void checkWorkerTypes(const JobDefinition &definition, const Context &context,
                      const WorkerLedger &ledger, std::vector<std::string> &reasons)
{
    if (context.now < context.startedAt + farHeartbeats * context.settings.farHeartbeatInterval)
        return;
    const auto types = knownTypes(definition, context, ledger);
    const bool fits = std::any_of(types.begin(), types.end(), [&](const Resources &type) {
        return definition.perTask.fitsIn(type);
    });
    if (types.empty() || fits)
        return;
    Resources largest;
    for (const auto &type : types)
        largest = componentMax(largest, type);
    reasons.push_back("a task needs " + describe(definition.perTask)
                      + "; no worker has that, the largest amounts are " + describe(largest));
}

} // namespace

std::vector<std::string> infeasibilityReasons(const JobDefinition &definition,
                                              const Context &context, const WorkerLedger &ledger)
{
    std::vector<std::string> reasons;
    checkValues(definition, reasons);
    checkReferences(definition, context, reasons);
    checkQuota(definition, context, reasons);
    checkWorkerTypes(definition, context, ledger, reasons);
    return reasons;
}

} // namespace cowsliprock::scheduling
