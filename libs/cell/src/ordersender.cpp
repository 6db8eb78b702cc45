#include "ordersender.h"

#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr int maxStartTries = 3;
constexpr std::chrono::milliseconds stopRetryDelay{ 200 };

} // namespace

OrderSender::OrderSender(WorkerPort &port, Timers &timers)
    : m_port(port)
    , m_timers(timers)
{ }

OrderSender::~OrderSender()
{
    *m_alive = false;
}

void OrderSender::start(const WorkerTarget &worker, const StartOrder &order,
                        const Done<StartOutcome> &done)
{
    tryStart(worker, order, 1, false, done);
}

void OrderSender::tryStart(const WorkerTarget &worker, const StartOrder &order, int tries,
                           bool maybeSent, const Done<StartOutcome> &done)
{
    m_port.start(worker, order, tries > 1,
                 [this, alive = m_alive, worker, order, tries, maybeSent,
                  done](const Result<OrderOutcome> &result) {
                     if (!*alive)
                         return;
                     if (result.has_value()) {
                         if (const auto *accepted = std::get_if<OrderAccepted>(&result.value())) {
                             done(*accepted);
                             return;
                         }
                         const auto reason = std::get<OrderRefused>(result.value()).reason;
                         // A refusal says nothing about an earlier try without an answer: that one
                         // may have run already, or may still be carried out.
                         if (maybeSent)
                             done(StartUnknown{});
                         else
                             done(StartRejected{ reason, false });
                         return;
                     }
                     const bool unknown = maybeSent || mayHaveTakenEffect(result.error());
                     if (tries < maxStartTries)
                         tryStart(worker, order, tries + 1, unknown, done);
                     else if (unknown)
                         done(StartUnknown{});
                     else
                         done(StartRejected{ OrderRefusal::Unhealthy, true });
                 });
}

void OrderSender::stop(const WorkerTarget &worker, const RunKey &run, std::uint64_t token,
                       std::function<bool()> wanted, Done<bool> done)
{
    m_port.stop(
        worker, run.first, run.second, token,
        [this, alive = m_alive, worker, run, token, wanted = std::move(wanted),
         done = std::move(done)](const Result<OrderOutcome> &result) mutable {
            if (!*alive)
                return;
            if (result.has_value() && std::holds_alternative<OrderAccepted>(result.value())) {
                done(true);
                return;
            }
            m_timers.after(stopRetryDelay,
                           [this, alive, worker, run, token, wanted = std::move(wanted),
                            done = std::move(done)]() mutable {
                               if (!*alive)
                                   return;
                               if (wanted())
                                   stop(worker, run, token, std::move(wanted), std::move(done));
                               else
                                   done(false);
                           });
        });
}

} // namespace cowsliprock::cell
