#include "ordersender.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr int maxStartAttempts = 4;
/// No retry is sent after this time, since the lease in the order expires meanwhile.
constexpr std::chrono::milliseconds startTimeLimit{ 1500 };
constexpr std::chrono::milliseconds stopRetryDelay{ 200 };
constexpr std::chrono::milliseconds maxStopRetryDelay{ 1600 };

} // namespace

struct OrderSender::PendingStart
{
    WorkerTarget worker;
    StartOrder order;
    std::function<bool()> wanted;
    Done<StartOutcome> done;
    TimePoint begun{};
    int attempts = 0;
    bool maybeDelivered = false; ///< An unanswered attempt may have reached the worker.
    bool reported = false;       ///< The outcome was reported.
    bool unknown = false;        ///< The outcome was reported as unknown.
};

struct OrderSender::PendingStop
{
    WorkerTarget worker;
    StopOrder order;
    std::function<bool()> wanted;
    Done<bool> done; ///< Empty once the outcome was reported.
    Duration retryDelay{ stopRetryDelay };
    bool repeated = false;
    bool retrying = false; ///< The next attempt is scheduled.
};

OrderSender::OrderSender(WorkerPort &port, Timers &timers, ResponseTimes &answerTimes)
    : m_port(port)
    , m_timers(timers)
    , m_answerTimes(answerTimes)
{ }

OrderSender::~OrderSender()
{
    *m_alive = false;
}

void OrderSender::start(const WorkerTarget &worker, const StartOrder &order,
                        std::function<bool()> wanted, const Done<StartOutcome> &done)
{
    m_window.sent();
    tryStart(std::make_shared<PendingStart>(PendingStart{
        worker, order, std::move(wanted), done, m_timers.now(), 0, false, false, false }));
}

void OrderSender::tryStart(const std::shared_ptr<PendingStart> &pending)
{
    // The first attempt has a short time-out: usually a single order was lost, and its step waits
    // for it.
    const bool first = pending->attempts == 0;
    const OrderCall call{ first ? m_answerTimes.repeatAfter() : m_answerTimes.timeout(), !first };
    ++pending->attempts;
    m_port.start(pending->worker, pending->order, call,
                 [this, alive = m_alive, pending,
                  sent = m_timers.now()](const Result<OrderOutcome> &result) {
                     if (!*alive)
                         return;
                     if (result.has_value())
                         handleStartReply(*pending, sent, result.value());
                     else
                         handleStartFailure(pending, result.error());
                 });
}

void OrderSender::handleStartReply(PendingStart &pending, TimePoint sent,
                                   const OrderOutcome &outcome)
{
    m_answerTimes.observe(m_timers.now() - sent);
    if (const auto *accepted = std::get_if<OrderAccepted>(&outcome)) {
        finish(pending, *accepted);
        return;
    }
    // A refusal does not cover an earlier unanswered attempt, which may have been executed already
    // or may still be executed.
    const auto &refusal = std::get<OrderRefused>(outcome);
    if (pending.maybeDelivered)
        finish(pending, StartUnknown{ refusal.clock });
    else
        finish(pending, StartRejected{ refusal.reason, false });
}

void OrderSender::handleStartFailure(const std::shared_ptr<PendingStart> &pending,
                                     const Error &error)
{
    if (pending->reported)
        return;
    pending->maybeDelivered = pending->maybeDelivered || mayHaveTakenEffect(error);
    const bool inTime = m_timers.now() - pending->begun < startTimeLimit;
    if (pending->attempts < maxStartAttempts && inTime && pending->wanted())
        tryStart(pending);
    else if (pending->maybeDelivered)
        finish(*pending, StartUnknown{});
    else
        finish(*pending, StartRejected{ OrderRefusal::Unhealthy, true });
}

void OrderSender::finish(PendingStart &pending, const StartOutcome &outcome)
{
    const bool first = !std::exchange(pending.reported, true);
    if (first)
        m_window.ended(m_timers.now(), m_answerTimes.mean());
    // A late answer is reported only if the outcome was unknown.
    const bool resolves = pending.unknown && std::holds_alternative<OrderAccepted>(outcome);
    pending.unknown = first && std::holds_alternative<StartUnknown>(outcome);
    if (first || resolves)
        pending.done(outcome);
}

void OrderSender::stop(const WorkerTarget &worker, const StopOrder &order,
                       std::function<bool()> wanted, Done<bool> done)
{
    tryStop(std::make_shared<PendingStop>(PendingStop{
        worker, order, std::move(wanted), std::move(done), stopRetryDelay, false, false }));
}

void OrderSender::tryStop(const std::shared_ptr<PendingStop> &pending)
{
    const OrderCall call{ m_answerTimes.timeout(), std::exchange(pending->repeated, true) };
    m_port.stop(pending->worker, pending->order, call,
                [this, alive = m_alive, pending](const Result<OrderOutcome> &result) {
                    if (!*alive || !pending->done)
                        return;
                    if (result.has_value() && std::holds_alternative<OrderAccepted>(result.value()))
                        std::exchange(pending->done, {})(true);
                    else
                        scheduleStopRetry(pending);
                });
}

void OrderSender::scheduleStopRetry(const std::shared_ptr<PendingStop> &pending)
{
    if (std::exchange(pending->retrying, true))
        return;
    const auto delay = pending->retryDelay;
    pending->retryDelay = std::min<Duration>(2 * delay, maxStopRetryDelay);
    m_timers.after(delay, [this, alive = m_alive, pending] {
        if (!*alive || !pending->done)
            return;
        pending->retrying = false;
        if (pending->wanted())
            tryStop(pending);
        else
            std::exchange(pending->done, {})(false);
    });
}

} // namespace cowsliprock::cell
