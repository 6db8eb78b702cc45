#pragma once

#include "sendwindow.h"
#include "workertable.h"

#include <cell/ports.h>

#include <eventloop/responsetimes.h>
#include <eventloop/timers.h>

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace cowsliprock::cell {

/// The start was refused or never sent; the worker has not run the task.
struct StartRejected
{
    OrderRefusal reason = OrderRefusal::Malformed;
    bool connectionFailed = false;
};

/// No attempt was answered conclusively; the worker may have started the run or may still do so.
struct StartUnknown
{
    /// Clock of the worker in the refusal of a repetition; nothing if none was answered.
    std::optional<std::chrono::milliseconds> clock;
};

using StartOutcome = std::variant<OrderAccepted, StartRejected, StartUnknown>;

/// Sends orders to workers and retries those that are not answered. Orders are idempotent: a run is
/// started at most once per incarnation of a worker, and the answer to any attempt is valid.
class OrderSender
{
public:
    OrderSender(WorkerPort &port, Timers &timers, ResponseTimes &answerTimes);
    ~OrderSender();
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;

    /// No attempt is made once \p wanted returns false: after a stop, a retry could reach a new
    /// incarnation of the worker that has not received the stop. Calls \p done with the outcome,
    /// and again after StartUnknown if a late answer shows that the start was accepted.
    void start(const WorkerTarget &worker, const StartOrder &order, std::function<bool()> wanted,
               const Done<StartOutcome> &done);

    /// False while the send window is full.
    [[nodiscard]] bool canStart() const noexcept { return m_window.open(); }

    [[nodiscard]] const SendWindow &window() const noexcept { return m_window; }

    /// Retries the stop until the worker accepts it or \p wanted returns false. Calls \p done with
    /// true if the worker has accepted it, with false otherwise.
    void stop(const WorkerTarget &worker, const StopOrder &order, std::function<bool()> wanted,
              Done<bool> done);

private:
    struct PendingStart;
    struct PendingStop;

    void tryStart(const std::shared_ptr<PendingStart> &pending);
    void handleStartReply(PendingStart &pending, TimePoint sent, const OrderOutcome &outcome);
    void handleStartFailure(const std::shared_ptr<PendingStart> &pending, const Error &error);
    void finish(PendingStart &pending, const StartOutcome &outcome);
    void tryStop(const std::shared_ptr<PendingStop> &pending);
    void scheduleStopRetry(const std::shared_ptr<PendingStop> &pending);

    WorkerPort &m_port;
    Timers &m_timers;
    ResponseTimes &m_answerTimes;
    SendWindow m_window;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
