#pragma once

#include <kernel/messages.h>
#include <kernel/model.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What the kernel asks of the runtime.
namespace cowsliprock::effect {

struct StoreCall
{
    static constexpr const char *name = "storeCall";
    enum class Operation { Get, CompareAndSwap, List, Watch };
    CallId call;
    Operation operation = Operation::Get;
    std::string key;           ///< Or the prefix, for List.
    std::uint64_t version = 0; ///< Expected version (0: absent); for Watch the version known.
    std::string value;
    Duration timeToLive{ 0 }; ///< For CompareAndSwap: the row is removed after it; 0 means never.
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

/// Sends a request to an endpoint. The body is written only if the clock is before validUntil.
struct CallEndpoint
{
    static constexpr const char *name = "callEndpoint";
    AttemptId attempt;
    std::string address;
    RequestProfile request;
    BodyKey body;
    TimePoint validUntil;
};

/// Releases a request or answer body held by the runtime.
struct ForgetBody
{
    static constexpr const char *name = "forgetBody";
    BodyKey body;
};

/// Asks a worker for a report and renews the leases of the tasks named.
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

/// Adds a value to a histogram of /metrics, in seconds or as a share.
struct Observe
{
    static constexpr const char *name = "observe";
    std::string metric;
    double value = 0;
};

/// Log line for a change of state.
struct LogChange
{
    static constexpr const char *name = "logChange";
    std::string text;
};

/// The daemon's readiness for the load balancer.
struct SetReady
{
    static constexpr const char *name = "setReady";
    bool ready = false;
    std::string reason;
};

/// The daemon goes on under a new incarnation. Later messages to peers carry it as their sender's.
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
