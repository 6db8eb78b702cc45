#include "ordersender.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr int maxStartTries = 4;
/// No further try is made after this time: the lease in the order runs out meanwhile.
constexpr std::chrono::milliseconds startTime{ 1500 };
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
    int tries = 0;
    bool maybeSent = false; ///< A try without an answer may have reached the worker.
    bool told = false;      ///< The outcome was told ...
    bool unknown = false;   ///< ... as unknown.
};

struct OrderSender::PendingStop
{
    WorkerTarget worker;
    StopOrder order;
    std::function<bool()> wanted;
    Done<bool> done; ///< Empty when the outcome was told.
    Duration retryDelay{ stopRetryDelay };
    bool repeated = false;
    bool retrying = false; ///< The next try is scheduled.
};

OrderSender::OrderSender(WorkerPort &port, Timers &timers, AnswerTimes &answerTimes)
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
    // A single lost order is the usual case, and its step waits for it.
    const bool first = pending->tries == 0;
    const OrderCall call{ first ? m_answerTimes.repeatAfter() : m_answerTimes.timeout(), !first };
    ++pending->tries;
    m_port.start(pending->worker, pending->order, call,
                 [this, alive = m_alive, pending,
                  sent = m_timers.now()](const Result<OrderOutcome> &result) {
                     if (!*alive)
                         return;
                     if (result.has_value())
                         startAnswered(*pending, sent, result.value());
                     else
                         startFailed(pending, result.error());
                 });
}

void OrderSender::startAnswered(PendingStart &pending, TimePoint sent, const OrderOutcome &outcome)
{
    m_answerTimes.observe(m_timers.now() - sent);
    if (const auto *accepted = std::get_if<OrderAccepted>(&outcome)) {
        finish(pending, *accepted);
        return;
    }
    // A refusal says nothing about an earlier try without an answer: that one may have run
    // already, or may still be carried out.
    if (pending.maybeSent)
        finish(pending, StartUnknown{});
    else
        finish(pending, StartRejected{ std::get<OrderRefused>(outcome).reason, false });
}

void OrderSender::startFailed(const std::shared_ptr<PendingStart> &pending, const Error &error)
{
    if (pending->told)
        return;
    pending->maybeSent = pending->maybeSent || mayHaveTakenEffect(error);
    const bool inTime = m_timers.now() - pending->begun < startTime;
    if (pending->tries < maxStartTries && inTime && pending->wanted())
        tryStart(pending);
    else if (pending->maybeSent)
        finish(*pending, StartUnknown{});
    else
        finish(*pending, StartRejected{ OrderRefusal::Unhealthy, true });
}

void OrderSender::finish(PendingStart &pending, const StartOutcome &outcome)
{
    const bool first = !std::exchange(pending.told, true);
    if (first)
        m_window.ended(m_timers.now(), m_answerTimes.mean());
    // A late answer changes only what was not known.
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
                        stopAgainLater(pending);
                });
}

void OrderSender::stopAgainLater(const std::shared_ptr<PendingStop> &pending)
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
