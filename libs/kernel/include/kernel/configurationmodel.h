#pragma once

#include <base/resources.h>
#include <base/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cowsliprock {

enum class Priority { Urgent, Normal, Batch };
enum class JobKind { Service, Batch, Gang };

/// Service-level objectives of one service.
struct Objectives
{
    Duration waitingTime{ 0 };    ///< Longest wait of a request; 0 means no objective.
    double waitingShare = 0.99;   ///< Share of requests that must meet waitingTime.
    double deadlineShare = 0.999; ///< Share of requests or tasks that must meet their deadline.
    double availability = 0.999;  ///< Share of requests that must get a complete response.
};

/// A service that serves requests at endpoints.
struct ServiceDefinition
{
    std::string name;
    std::string team;
    std::string policy;
    Priority priority = Priority::Normal;
    std::uint32_t slots = 8;               ///< Requests that one endpoint serves concurrently.
    std::uint32_t connections = 64;        ///< Connections that one endpoint accepts.
    std::uint32_t queueLimit = 256;        ///< Maximum number of requests queued at one owner.
    std::uint32_t retryBudgetPercent = 10; ///< Extra attempts as a percentage of first attempts.
    Duration expectedServiceTime{ 50'000 };
    Duration defaultDeadline{ 2'000'000 };
    Objectives objectives;
};

/// A job defined in the configuration by operators; also the format of submitted jobs.
struct JobDefinition
{
    std::string name;
    std::string team;
    std::string policy;
    JobKind kind = JobKind::Batch;
    Priority priority = Priority::Batch;
    bool exclusive = false; ///< A task must not run in two places at once.
    bool mayYield = true;   ///< May be throttled, checkpointed or stopped in favour of urgent work.
    std::uint32_t taskCount = 1;
    Resources perTask;
    Duration expectedRunTime{ 0 };
    Duration deadline{ 0 };           ///< Relative to acceptance; 0 means none.
    std::uint32_t maxAttempts = 3;    ///< Maximum number of attempts per task.
    std::vector<std::string> regions; ///< Allowed regions; empty means all.
    std::string service;              ///< For kind Service: the service that the tasks provide.
};

/// Placement policy with weights set by operators.
struct PolicyDefinition
{
    std::string name;
    std::string placement = "packing"; ///< Name of a registered placement policy.
    double waitingWeight = 1.0;
    double packingWeight = 1.0;
    double crossRegionWeight = 1.0;
};

struct TeamDefinition
{
    std::string name;
    Resources quota;
};

struct CallerDefinition
{
    std::string name;
    std::string homeRegion; ///< Region that stores the identities of its requests.
};

/// One version of the configuration. Immutable once published.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<ServiceDefinition> services;
    std::vector<JobDefinition> jobs;
    std::vector<PolicyDefinition> policies;
    std::vector<TeamDefinition> teams;
    std::vector<CallerDefinition> callers;
};

/// Shared, so that all stages read the same version without copying it.
using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace cowsliprock
