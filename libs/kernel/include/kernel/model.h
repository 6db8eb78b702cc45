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

/// One line of the platform's list of VMs.
struct VmEntry
{
    std::string name;
    std::string role;    ///< "worker" or "entry".
    std::string address; ///< "host:port" of its HTTP interface.
    Location location;
    bool leaving = false;
};

/// An endpoint as its worker reports it.
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

/// A task as its worker reports it.
struct TaskReport
{
    AttemptId attempt;
    JobId job;
    std::uint32_t index = 0;
    TaskState state = TaskState::Running;
    Resources declared;
    Resources used;
};

/// A request that waits for or holds an endpoint, as one attempt.
struct RequestProfile
{
    std::string caller;
    std::string service;
    std::string idempotencyKey; ///< Empty if the caller gave none.
    bool idempotent = false;
    Priority priority = Priority::Normal;
    Duration timeLeft{ 0 };   ///< Until the caller's deadline, at the moment of the message.
    std::uint64_t digest = 0; ///< Of service, path and body; tells a reused key from a retry.
    std::uint32_t bodyBytes = 0;
    std::string path;
    std::string method;
};

enum class AnswerKind { Whole, NotRun, Unknown };

/// Final answer to a request.
struct RequestAnswer
{
    AnswerKind kind = AnswerKind::NotRun;
    int httpStatus = 0;       ///< Of the endpoint, for a whole answer.
    BodyKey body;             ///< For a whole answer, the body held by the runtime.
    std::string reason;       ///< For the other kinds, one of the documented reasons.
    Duration retryAfter{ 0 }; ///< 0 where coming back does not help.
};

/// What the journal keeps of a decision that must be durable before it takes effect.
struct JournalEntry
{
    enum class Kind { RequestIntent, RequestOutcome, TaskIntent, TaskEnd };
    Kind kind = Kind::RequestIntent;
    PartitionId partition;
    std::string identity; ///< "<caller>/<key>" of a request, "<job>/<index>" of a task.
    AttemptId attempt;
    std::uint64_t digest = 0;
    WorkerName worker; ///< Of a task.
};

/// Coarse free capacity of one daemon, carried in heartbeats.
struct LoadSummary
{
    std::map<std::string, std::uint32_t> freeSlots; ///< By service.
    std::map<std::string, std::uint32_t> waiting;   ///< Queued requests by service.
    Resources freeResources;                        ///< Sum over the workers it owns.
    Resources largestFree;              ///< Component-wise largest free amount on one worker.
    std::vector<Resources> workerTypes; ///< Capacities of its workers that fit in no other one.
};

enum class JobOutcome { None, Succeeded, Failed, Cancelled };

/// A job that was accepted.
struct AcceptedJob
{
    JobId id;
    JobDefinition definition;
    std::string submittedBy;
    bool cancelled = false;
    JobOutcome outcome = JobOutcome::None; ///< None until the job has ended.
};

/// What a worker needs to start a task.
struct TaskLaunch
{
    AttemptId attempt;
    JobId job;
    std::uint32_t index = 0;
    Resources declared;
    Duration expectedRunTime{ 0 };
    std::string service; ///< Non-empty if the task offers an endpoint.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::string name; ///< Of the job; usage is compared with the declaration by this name.
};

} // namespace cowsliprock
