#pragma once

#include <kernel/model.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between daemons. Bodies of requests and answers are held by the runtime: the kernel
/// sets bodyKey, the sending runtime fills in body and contentType, and the receiving runtime
/// stores them under bodyKey and clears body before the kernel sees the message.
namespace cowsliprock::message {

struct Heartbeat
{
    static constexpr const char *name = "heartbeat";
    Location location;
    std::string address;     ///< HTTP "host:port".
    std::string peerAddress; ///< nng "host:port".
    std::uint64_t configurationVersion = 0;
    bool draining = false;
    LoadSummary load;
    std::vector<PartitionId> partitions{}; ///< Owned by the sender; other regions learn it here.
};

/// Asks a named successor not to take over the sender's partitions for a while.
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

/// Asks a named successor of another daemon to waive its right to promise.
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

/// Asks an owner to have a request served by one of its endpoints.
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

/// Sends a non-idempotent request to the home of its identity.
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

/// Asks a partition owner to hold capacity for a task.
struct Reserve
{
    static constexpr const char *name = "reserve";
    AttemptId attempt;
    TaskLaunch launch;
    std::string policy;
    Priority priority = Priority::Batch;
    bool mayYield = true;
    bool preempt = false; ///< Urgent work may displace tasks that may yield.
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

/// Turns a reservation into a start. For an attempt that was started before, asks for its state.
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

/// Tells the job's home that an attempt is over.
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

/// JSON Patches from one version to the next, or the whole document.
struct ConfigurationPush
{
    static constexpr const char *name = "configurationPush";
    std::uint64_t fromVersion = 0; ///< 0 if patches holds one whole document.
    std::uint64_t toVersion = 0;
    std::vector<std::string> patches;
};

/// Operator call relayed to the daemon that can answer it (submit, cancel, status of a job).
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
