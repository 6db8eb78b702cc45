#pragma once

#include <kernel/messages.h>
#include <kernel/model.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Actions that the kernel requests from the runtime.
namespace cowsliprock::effect {

struct StoreCall
{
    static constexpr const char *name = "storeCall";
    enum class Operation { Get, CompareAndSwap, List, Watch };
    CallId call;
    Operation operation = Operation::Get;
    std::string key;           ///< For List, the key prefix.
    std::uint64_t version = 0; ///< Expected version (0: absent); for Watch, the known version.
    std::string value;
    Duration timeToLive{ 0 }; ///< For CompareAndSwap: lifetime of the row; 0 means unlimited.
};

struct SendPeer
{
    static constexpr const char *name = "sendPeer";
    DaemonName to;
    Message message;
};

struct AnswerCaller
{
    static constexpr const char *name = "answerCaller";
    RequestId request;
    RequestAnswer answer;
};

struct AnswerOperator
{
    static constexpr const char *name = "answerOperator";
    OperationId operation;
    int httpStatus = 200;
    std::string body; ///< JSON
};

/// Sends a request to an endpoint. The body is written only if the time is before validUntil.
struct CallEndpoint
{
    static constexpr const char *name = "callEndpoint";
    AttemptId attempt;
    std::string address;
    RequestProfile request;
    BodyKey body;
    TimePoint validUntil;
};

/// Releases a request or response body held by the runtime.
struct ForgetBody
{
    static constexpr const char *name = "forgetBody";
    BodyKey body;
};

/// Requests a report from a worker and renews the leases of the attempts in renew.
struct PollWorker
{
    static constexpr const char *name = "pollWorker";
    WorkerName worker;
    std::string address;
    std::vector<AttemptId> renew;
    Duration lease{ 0 };
    TimePoint validUntil;
};

struct StartTask
{
    static constexpr const char *name = "startTask";
    WorkerName worker;
    std::string address;
    TaskLaunch launch;
    Duration lease{ 0 };
    TimePoint validUntil;
};

struct StopTask
{
    static constexpr const char *name = "stopTask";
    enum class Mode { Stop, Checkpoint, Throttle, Unthrottle };
    AttemptId attempt;
    WorkerName worker;
    std::string address;
    Mode mode = Mode::Stop;
    TimePoint validUntil;
};

/// Adds to a counter of /metrics.
struct Count
{
    static constexpr const char *name = "count";
    std::string metric;
    std::uint64_t amount = 1;
};

/// Adds a value, in seconds or as a ratio, to a histogram of /metrics.
struct Observe
{
    static constexpr const char *name = "observe";
    std::string metric;
    double value = 0;
};

/// Logs a change of state.
struct LogChange
{
    static constexpr const char *name = "logChange";
    std::string text;
};

/// Sets the readiness that the daemon reports to the load balancer.
struct SetReady
{
    static constexpr const char *name = "setReady";
    bool ready = false;
    std::string reason;
};

/// Sets a new incarnation of the daemon. Later messages to peers carry it as the sender's.
struct SetIncarnation
{
    static constexpr const char *name = "setIncarnation";
    std::uint64_t incarnation = 0;
};

/// Ends the process after a drain.
struct Exit
{
    static constexpr const char *name = "exit";
};

} // namespace cowsliprock::effect

namespace cowsliprock {

using Effect =
    std::variant<effect::StoreCall, effect::SendPeer, effect::AnswerCaller, effect::AnswerOperator,
                 effect::CallEndpoint, effect::ForgetBody, effect::PollWorker, effect::StartTask,
                 effect::StopTask, effect::Count, effect::Observe, effect::LogChange,
                 effect::SetReady, effect::SetIncarnation, effect::Exit>;

} // namespace cowsliprock
