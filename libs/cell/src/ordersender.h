#pragma once

#include "workertable.h"

#include <cell/ports.h>

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
/// same run is started at most once in a life of a worker.
class OrderSender
{
public:
    OrderSender(WorkerPort &port, Timers &timers);
    ~OrderSender();
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;

    void start(const WorkerTarget &worker, const StartOrder &order, const Done<StartOutcome> &done);

    /// Repeats the stop until the worker accepts it or \p wanted returns false.
    /// \p done is called with true when the worker has accepted it.
    void stop(const WorkerTarget &worker, const RunKey &run, std::uint64_t token,
              std::function<bool()> wanted, Done<bool> done);

private:
    void tryStart(const WorkerTarget &worker, const StartOrder &order, int tries, bool maybeSent,
                  const Done<StartOutcome> &done);

    WorkerPort &m_port;
    Timers &m_timers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
