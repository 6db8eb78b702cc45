#pragma once

#include <base/id.h>
#include <base/resources.h>
#include <base/time.h>
#include <kernel/configurationmodel.h>
#include <kernel/identity.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cowsliprock {

/// One entry of the platform's VM list.
struct VmEntry
{
    std::string name;
    std::string role;    ///< "worker" or "entry".
    std::string address; ///< "host:port" of its HTTP interface.
    Location location;
    bool leaving = false;
};

/// State of an endpoint as reported by its worker.
struct EndpointReport
{
    std::string service;
    std::string address; ///< "host:port"
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t activeRequests = 0;
    bool leaving = false;
};

enum class TaskState { Starting, Running, Throttled, Succeeded, Failed, Stopped, Lapsed };

/// State of a task as reported by its worker.
struct TaskReport
{
    AttemptId attempt;
    JobId job;
    std::uint32_t index = 0;
    TaskState state = TaskState::Running;
    Resources declared;
    Resources used;
};

/// Properties of one attempt of a request that waits for an endpoint or is served by one.
struct RequestProfile
{
    std::string caller;
    std::string service;
    std::string idempotencyKey; ///< Empty if the caller sent none.
    bool idempotent = false;
    Priority priority = Priority::Normal;
    bool hasPriority = false; ///< If false, the priority of the service applies.
    Duration timeLeft{ 0 };   ///< Until the caller's deadline, as of the time of the message.
    /// Of service, path and body; distinguishes a retry from another request with the same key.
    std::uint64_t digest = 0;
    std::uint32_t bodyBytes = 0;
    std::string path;
    std::string method;
};

enum class AnswerKind {
    Whole,  ///< A complete response.
    NotRun, ///< The request was not executed.
    Unknown ///< It is unknown whether the request was executed.
};

/// Final response to a request.
struct RequestAnswer
{
    AnswerKind kind = AnswerKind::NotRun;
    int httpStatus = 0;       ///< Status from the endpoint, for Whole.
    BodyKey body;             ///< Body held by the runtime, for Whole.
    std::string reason;       ///< One of the documented reasons, for the other kinds.
    Duration retryAfter{ 0 }; ///< 0 if a retry would not help.
    Duration served{ 0 };     ///< Time spent at the endpoint, for Whole.
};

/// Journal record of a decision that must be durable before it takes effect.
struct JournalEntry
{
    enum class Kind { RequestIntent, RequestOutcome, TaskIntent, TaskEnd };
    Kind kind = Kind::RequestIntent;
    PartitionId partition;
    std::string identity; ///< "<caller>/<key>" of a request, "<job>/<index>" of a task.
    AttemptId attempt;
    std::uint64_t digest = 0;
    WorkerName worker; ///< Only for a task.
};

/// Approximate free capacity of one daemon, sent in heartbeats.
struct LoadSummary
{
    std::map<std::string, std::uint32_t> freeSlots; ///< By service.
    std::map<std::string, std::uint32_t> waiting;   ///< Queued requests by service.
    Resources freeResources;                        ///< Sum over the workers it owns.
    Resources largestFree; ///< Component-wise maximum over the free resources of its workers.
    std::vector<Resources> workerTypes; ///< Worker capacities that fit within no other one.
};

enum class JobOutcome { None, Succeeded, Failed, Cancelled };

/// A submitted job that has been accepted.
struct AcceptedJob
{
    JobId id;
    JobDefinition definition;
    std::string submittedBy;
    bool cancelled = false;
    JobOutcome outcome = JobOutcome::None; ///< None until the job has ended.
};

/// Parameters that a worker needs to start a task.
struct TaskLaunch
{
    AttemptId attempt;
    JobId job;
    std::uint32_t index = 0;
    Resources declared;
    Duration expectedRunTime{ 0 };
    std::string service; ///< Non-empty if the task provides an endpoint.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::string name; ///< Job name; resource usage is compared with the declaration per name.
};

} // namespace cowsliprock
