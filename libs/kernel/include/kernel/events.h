#pragma once

#include <kernel/messages.h>
#include <kernel/model.h>

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Events that the kernel handles. The first group is produced by the runtime and recorded in
/// traces; the second group is raised by stages for other stages and is not recorded.
namespace cowsliprock::event {

/// First event of each run.
struct Started
{
    static constexpr const char *name = "started";
};

/// Periodic event, sent every 50 ms.
struct Tick
{
    static constexpr const char *name = "tick";
};

enum class StoreStatus { Ok, Conflict, NotFound, Unavailable };

struct StoreRow
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

/// Reply to effect::StoreCall. With Unavailable, it is unknown whether a write took effect.
struct StoreReply
{
    static constexpr const char *name = "storeReply";
    CallId call;
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t version = 0;  ///< Of the row after the call; on Conflict, the current version.
    std::string value;          ///< For Get and Watch; on Conflict, the current value.
    std::vector<StoreRow> rows; ///< For List.
    TimePoint sentAt;           ///< When the call was sent.
};

struct PeerMessage
{
    static constexpr const char *name = "peerMessage";
    DaemonIdentity from;
    Message message;
};

struct VmList
{
    static constexpr const char *name = "vmList";
    std::vector<VmEntry> entries;
};

struct RequestArrived
{
    static constexpr const char *name = "requestArrived";
    RequestId request;
    RequestProfile profile;
    BodyKey bodyKey;
};

struct CallerDisconnected
{
    static constexpr const char *name = "callerDisconnected";
    RequestId request;
};

/// Outcome of effect::CallEndpoint.
enum class EndpointOutcome {
    Answered, ///< A complete response was received.
    NotSent,  ///< The request body was not sent completely; the request was not executed.
    Refused,  ///< The endpoint refused the request before executing it (503).
    Unknown   ///< The request was sent completely, but no complete response was received.
};

struct EndpointReply
{
    static constexpr const char *name = "endpointReply";
    AttemptId attempt;
    EndpointOutcome outcome = EndpointOutcome::Unknown;
    int httpStatus = 0;
    BodyKey body;
    bool leaving = false;
    std::string detail;
};

/// Reply to effect::PollWorker.
struct WorkerReport
{
    static constexpr const char *name = "workerReport";
    WorkerName worker;
    TimePoint askedAt; ///< When the poll was sent.
    Resources capacity;
    std::vector<TaskReport> tasks; ///< Current tasks and those that ended in the last 60 s.
    std::vector<EndpointReport> endpoints;
};

struct WorkerUnreachable
{
    static constexpr const char *name = "workerUnreachable";
    WorkerName worker;
};

/// Reply to effect::StartTask.
struct TaskStartResult
{
    static constexpr const char *name = "taskStartResult";
    AttemptId attempt;
    message::StartOutcome outcome = message::StartOutcome::Unknown;
};

/// Reply to effect::StopTask.
struct TaskStopResult
{
    static constexpr const char *name = "taskStopResult";
    AttemptId attempt;
    bool confirmed = false; ///< The worker confirmed that the task is not running.
};

/// Operator call received by this daemon.
struct OperatorCall
{
    static constexpr const char *name = "operatorCall";
    OperationId operation;
    std::string action; ///< "submit", "cancel", "status", "configurationApply", ...
    std::string body;   ///< JSON
};

struct DrainRequested
{
    static constexpr const char *name = "drainRequested";
};

// Raised by stages.

/// The daemon has acquired a partition. Work may be assigned to its workers from usableFrom on.
struct PartitionAcquired
{
    static constexpr const char *name = "partitionAcquired";
    PartitionId partition;
    std::uint64_t epoch = 0;
    /// Worker reports requested before this time need not show the previous owner's work.
    TimePoint usableFrom;
    std::vector<JournalEntry> inherited; ///< Entries of previous owners within the retention time.
};

struct PartitionLost
{
    static constexpr const char *name = "partitionLost";
    PartitionId partition;
};

/// Time until which this daemon may assign work to the workers it owns. Each renewal extends it.
struct ValidityChanged
{
    static constexpr const char *name = "validityChanged";
    TimePoint validUntil;
    bool storeReachable = true; ///< False while validity depends on promises only.
};

/// Partition owners known to this daemon.
struct OwnersChanged
{
    static constexpr const char *name = "ownersChanged";
    std::map<PartitionId, DaemonIdentity> owners;
};

/// Status of a peer, raised when information about it arrives or has been absent for too long.
struct PeerStatus
{
    static constexpr const char *name = "peerStatus";
    DaemonIdentity peer;
    Location location;
    bool alive = true;
    bool draining = false;
    std::uint64_t configurationVersion = 0;
    LoadSummary load;
};

/// Asks the ownership stage to make an entry durable.
struct JournalAppend
{
    static constexpr const char *name = "journalAppend";
    std::uint64_t ticket = 0; ///< Chosen by the requesting stage; unique within that stage.
    std::string stage;
    JournalEntry entry;
};

/// Result of JournalAppend. If durable is false, the entry will never become durable.
struct JournalResult
{
    static constexpr const char *name = "journalResult";
    std::uint64_t ticket = 0;
    std::string stage;
    bool durable = false;
};

struct ConfigurationInForce
{
    static constexpr const char *name = "configurationInForce";
    ConfigurationPointer configuration;
};

/// Free capacity to report in heartbeats. Each stage fills in its own part.
struct LoadChanged
{
    static constexpr const char *name = "loadChanged";
    std::string stage;
    LoadSummary load;
};

/// Raised during a drain when a stage has no more work in progress.
struct StageDrained
{
    static constexpr const char *name = "stageDrained";
    std::string stage;
};

/// End of a request or task, for the error-budget burn report.
struct WorkFinished
{
    static constexpr const char *name = "workFinished";
    std::string service; ///< Or the job's name.
    std::string caller;  ///< Or the job's team.
    bool request = true;
    Duration waited{ 0 };
    bool deadlineMet = true;
    bool available = true; ///< False if the system failed to complete the work.
};

/// One late request or job.
struct LateItem
{
    std::string id;     ///< Of the request or job.
    std::string name;   ///< Service or job name.
    std::string caller; ///< Caller or team.
    TimePoint lateSince;
};

/// All late work of a stage, raised when it changes, at most once per second.
struct LateWorkChanged
{
    static constexpr const char *name = "lateWorkChanged";
    std::string stage;
    std::vector<LateItem> items;
};

} // namespace cowsliprock::event

namespace cowsliprock {

using Event =
    std::variant<event::Started, event::Tick, event::StoreReply, event::PeerMessage, event::VmList,
                 event::RequestArrived, event::CallerDisconnected, event::EndpointReply,
                 event::WorkerReport, event::WorkerUnreachable, event::TaskStartResult,
                 event::TaskStopResult, event::OperatorCall, event::DrainRequested,
                 event::PartitionAcquired, event::PartitionLost, event::ValidityChanged,
                 event::OwnersChanged, event::PeerStatus, event::JournalAppend,
                 event::JournalResult, event::ConfigurationInForce, event::LoadChanged,
                 event::StageDrained, event::WorkFinished, event::LateWorkChanged>;

} // namespace cowsliprock
