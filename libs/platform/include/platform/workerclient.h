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

    /// Told of each call without a usable answer; called by the thread that executes the call.
    std::function<void(const Error &)> onError = [](const Error &) {};
};

/// Calls to workers. Every call opens a connection of its own, and each write to it is preceded by
/// the check that the clock is before the effect's validUntil. Thread-safe; calls block.
class WorkerClient
{
public:
    using PollResult = std::variant<event::WorkerReport, event::WorkerUnreachable>;

    /// The clock must outlive the client.
    WorkerClient(WorkerClientSettings settings, const Clock &clock);
    ~WorkerClient();
    WorkerClient(const WorkerClient &) = delete;
    WorkerClient &operator=(const WorkerClient &) = delete;

    /// A report that names another worker counts as unreachable: the address has a new holder.
    [[nodiscard]] PollResult poll(const effect::PollWorker &effect);

    /// NotStarted if the body was not sent whole or the worker refused; Unknown without an answer.
    [[nodiscard]] event::TaskStartResult start(const effect::StartTask &effect);

    /// Confirmed if the worker answered with a state in which the task does not run, or with 404.
    [[nodiscard]] event::TaskStopResult stop(const effect::StopTask &effect);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cowsliprock
