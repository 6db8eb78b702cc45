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
    Duration waitingTime{ 0 };    ///< A request waits at most this long; 0 means no objective.
    double waitingShare = 0.99;   ///< Share of requests that must meet waitingTime.
    double deadlineShare = 0.999; ///< Share of requests or tasks that must meet their deadline.
    double availability = 0.999;  ///< Share of requests that must get a whole answer.
};

/// A service that answers requests at endpoints.
struct ServiceDefinition
{
    std::string name;
    std::string team;
    std::string policy;
    Priority priority = Priority::Normal;
    std::uint32_t slots = 8;               ///< Requests that one endpoint may serve at once.
    std::uint32_t connections = 64;        ///< Connections that one endpoint accepts.
    std::uint32_t queueLimit = 256;        ///< Waiting requests at one owner.
    std::uint32_t retryBudgetPercent = 10; ///< Extra attempts as a share of first attempts.
    Duration expectedServiceTime{ 50'000 };
    Duration defaultDeadline{ 2'000'000 };
    Objectives objectives;
};

/// A job that operators describe in the configuration, and the form in which jobs are submitted.
struct JobDefinition
{
    std::string name;
    std::string team;
    std::string policy;
    JobKind kind = JobKind::Batch;
    Priority priority = Priority::Batch;
    bool exclusive = false; ///< No task may run in two places at once.
    bool mayYield = true;   ///< May be throttled, checkpointed or stopped for urgent work.
    std::uint32_t taskCount = 1;
    Resources perTask;
    Duration expectedRunTime{ 0 };
    Duration deadline{ 0 };           ///< Counted from acceptance; 0 means none.
    std::uint32_t maxAttempts = 3;    ///< Attempts of each task.
    std::vector<std::string> regions; ///< Allowed regions; empty means all.
    std::string service;              ///< For kind Service: the service that the tasks offer.
};

/// Placement policy with the operators' weights.
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
    std::string homeRegion; ///< Region that holds the identities of its requests.
};

/// The configuration in force. Immutable once published.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<ServiceDefinition> services;
    std::vector<JobDefinition> jobs;
    std::vector<PolicyDefinition> policies;
    std::vector<TeamDefinition> teams;
    std::vector<CallerDefinition> callers;
};

/// Shared, because every stage reads the same version without a copy.
using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace cowsliprock
