#pragma once

#include <kernel/model.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between daemons. The runtime holds the bodies of requests and responses: the kernel
/// sets bodyKey, the sending runtime fills in body and contentType, and the receiving runtime
/// stores them under bodyKey and clears body before it passes the message to the kernel.
namespace cowsliprock::message {

struct Heartbeat
{
    static constexpr const char *name = "heartbeat";
    Location location;
    std::string address;     ///< "host:port" of the HTTP interface.
    std::string peerAddress; ///< "host:port" of the nng socket.
    std::uint64_t configurationVersion = 0;
    bool draining = false;
    LoadSummary load;
    std::vector<PartitionId> partitions{}; ///< Owned by the sender; informs other regions.
};

/// Asks a named successor not to take over the sender's partitions for a limited time.
struct PromiseRequest
{
    static constexpr const char *name = "promiseRequest";
    std::uint64_t sequence = 0;
    std::uint64_t recordVersion = 0; ///< Version of the sender's last confirmed daemon record.
};

struct PromiseReply
{
    static constexpr const char *name = "promiseReply";
    std::uint64_t sequence = 0;
    bool granted = false;
};

/// Asks a named successor of another daemon to waive its right to grant that daemon promises.
struct WaiverRequest
{
    static constexpr const char *name = "waiverRequest";
    DaemonIdentity owner;
    std::uint64_t recordVersion = 0; ///< Version of the owner's record that the sender read.
};

struct WaiverReply
{
    static constexpr const char *name = "waiverReply";
    DaemonIdentity owner;
    std::uint64_t recordVersion = 0; ///< The waiver holds for this version of the owner's record.
    bool waived = false;
};

/// Asks a partition owner to have a request served by one of its endpoints.
struct Dispatch
{
    static constexpr const char *name = "dispatch";
    AttemptId attempt;
    RequestProfile request;
    BodyKey bodyKey;
    std::string body;
    std::string contentType;
};

struct DispatchReply
{
    static constexpr const char *name = "dispatchReply";
    AttemptId attempt;
    RequestAnswer answer;
    std::string body;
    std::string contentType;
};

/// Forwards a non-idempotent request to the daemon responsible for its identity.
struct Forward
{
    static constexpr const char *name = "forward";
    AttemptId attempt;
    RequestProfile request;
    BodyKey bodyKey;
    std::string body;
    std::string contentType;
};

struct ForwardReply
{
    static constexpr const char *name = "forwardReply";
    AttemptId attempt;
    RequestAnswer answer;
    std::string body;
    std::string contentType;
};

/// Asks a partition owner to reserve capacity for a task.
struct Reserve
{
    static constexpr const char *name = "reserve";
    AttemptId attempt;
    TaskLaunch launch;
    std::string policy;
    Priority priority = Priority::Batch;
    bool mayYield = true;
    bool preempt = false; ///< Urgent work may preempt tasks with mayYield set.
};

struct ReserveReply
{
    static constexpr const char *name = "reserveReply";
    AttemptId attempt;
    bool granted = false;
    WorkerName worker;
    std::string reason;
};

struct ReleaseReservation
{
    static constexpr const char *name = "releaseReservation";
    AttemptId attempt;
};

/// Starts the task of a reservation. For an attempt that was already started, queries its state.
struct StartTask
{
    static constexpr const char *name = "startTask";
    AttemptId attempt;
    WorkerName worker;
};

enum class StartOutcome { Started, NotStarted, Unknown };

struct StartTaskReply
{
    static constexpr const char *name = "startTaskReply";
    AttemptId attempt;
    StartOutcome outcome = StartOutcome::Unknown;
    WorkerName worker;
};

struct StopTask
{
    static constexpr const char *name = "stopTask";
    AttemptId attempt;
    WorkerName worker;
};

/// Reports the end of an attempt to the daemon responsible for the job.
struct TaskEnded
{
    static constexpr const char *name = "taskEnded";
    AttemptId attempt;
    JobId job;
    std::uint32_t index = 0;
    TaskState state = TaskState::Succeeded;
    Resources used;
};

struct ConfigurationPull
{
    static constexpr const char *name = "configurationPull";
    std::uint64_t haveVersion = 0;
};

/// JSON Patches from each version to the next, or one complete document.
struct ConfigurationPush
{
    static constexpr const char *name = "configurationPush";
    std::uint64_t fromVersion = 0; ///< 0 if patches holds one complete document.
    std::uint64_t toVersion = 0;
    std::vector<std::string> patches;
};

/// Operator call relayed to the daemon that can handle it (submit, cancel or status of a job).
struct OperatorRelay
{
    static constexpr const char *name = "operatorRelay";
    OperationId operation;
    std::string action; ///< "submit", "cancel" or "status".
    std::string body;   ///< JSON
};

struct OperatorRelayReply
{
    static constexpr const char *name = "operatorRelayReply";
    OperationId operation;
    int httpStatus = 0;
    std::string body; ///< JSON
};

} // namespace cowsliprock::message

namespace cowsliprock {

using Message =
    std::variant<message::Heartbeat, message::PromiseRequest, message::PromiseReply,
                 message::WaiverRequest, message::WaiverReply, message::Dispatch,
                 message::DispatchReply, message::Forward, message::ForwardReply, message::Reserve,
                 message::ReserveReply, message::ReleaseReservation, message::StartTask,
                 message::StartTaskReply, message::StopTask, message::TaskEnded,
                 message::ConfigurationPull, message::ConfigurationPush, message::OperatorRelay,
                 message::OperatorRelayReply>;

} // namespace cowsliprock
