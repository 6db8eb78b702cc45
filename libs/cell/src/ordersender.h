#pragma once

#include "sendwindow.h"
#include "workertable.h"

#include <cell/ports.h>

#include <eventloop/answertimes.h>
#include <eventloop/timers.h>

#include <functional>
#include <memory>

namespace cowsliprock::cell {

/// The start was refused or never sent: the worker has not run it.
struct StartRejected
{
    OrderRefusal reason = OrderRefusal::Malformed;
    bool connectionFailed = false;
};

/// No answer to any try: the worker may have started the run, or may do so later.
struct StartUnknown
{ };

using StartOutcome = std::variant<OrderAccepted, StartRejected, StartUnknown>;

/// Sends orders to workers and repeats those that were not answered. Orders are idempotent: the
/// same run is started at most once in a life of a worker, and the answer to any try counts.
class OrderSender
{
public:
    OrderSender(WorkerPort &port, Timers &timers, AnswerTimes &answerTimes);
    ~OrderSender();
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;

    /// No try is made once \p wanted returns false: after a stop a repetition could reach a new
    /// life of the worker, which has not heard of the stop. \p done is called with the outcome;
    /// after StartUnknown once more if a late answer shows that the start was accepted.
    void start(const WorkerTarget &worker, const StartOrder &order, std::function<bool()> wanted,
               const Done<StartOutcome> &done);

    /// False while as many starts as the link carries have no answer yet.
    [[nodiscard]] bool mayStart() const noexcept { return m_window.open(); }

    [[nodiscard]] const SendWindow &window() const noexcept { return m_window; }

    /// Repeats the stop until the worker accepts it or \p wanted returns false.
    /// \p done is called with true when the worker has accepted it.
    void stop(const WorkerTarget &worker, const StopOrder &order, std::function<bool()> wanted,
              Done<bool> done);

private:
    struct PendingStart;
    struct PendingStop;

    void tryStart(const std::shared_ptr<PendingStart> &pending);
    void startAnswered(PendingStart &pending, TimePoint sent, const OrderOutcome &outcome);
    void startFailed(const std::shared_ptr<PendingStart> &pending, const Error &error);
    void finish(PendingStart &pending, const StartOutcome &outcome);
    void tryStop(const std::shared_ptr<PendingStop> &pending);
    void stopAgainLater(const std::shared_ptr<PendingStop> &pending);

    WorkerPort &m_port;
    Timers &m_timers;
    AnswerTimes &m_answerTimes;
    SendWindow m_window;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
