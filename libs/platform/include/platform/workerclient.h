#pragma once

#include <base/error.h>
#include <base/time.h>
#include <kernel/effects.h>
#include <kernel/events.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace cowsliprock {

struct WorkerClientSettings
{
    std::string clientName; ///< Sent as X-Client.
    Duration connectTimeout{ std::chrono::milliseconds(500) };
    Duration callTimeout{ std::chrono::seconds(2) };

    /// Called for each call without a usable response, on the thread that executes the call.
    std::function<void(const Error &)> onError = [](const Error &) {};
};

/// HTTP client for calls to workers. Each call opens a new connection, and before each write the
/// clock is checked against the effect's validUntil. Thread-safe; calls block.
class WorkerClient
{
public:
    using PollResult = std::variant<event::WorkerReport, event::WorkerUnreachable>;

    /// The clock must outlive the client.
    WorkerClient(WorkerClientSettings settings, const Clock &clock);
    ~WorkerClient();
    WorkerClient(const WorkerClient &) = delete;
    WorkerClient &operator=(const WorkerClient &) = delete;

    /// A report from another worker yields WorkerUnreachable: the address has been reassigned.
    [[nodiscard]] PollResult poll(const effect::PollWorker &effect);

    /// Yields NotStarted if the body was not sent completely or the worker refused, and Unknown if
    /// there was no response or an unexpected one.
    [[nodiscard]] event::TaskStartResult start(const effect::StartTask &effect);

    /// Confirmed if the worker responds with a state in which the task is not running, or with 404.
    [[nodiscard]] event::TaskStopResult stop(const effect::StopTask &effect);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cowsliprock
