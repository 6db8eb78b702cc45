#pragma once

#include "leaderlease.h"

#include <cell/ports.h>

#include <eventloop/timers.h>

#include <memory>

namespace cowsliprock::cell {

/// Makes calls to workers only while the owner's lease is valid. A call made later, for example
/// after the process was paused, fails without having been sent.
class LeasedWorkers : public WorkerPort
{
public:
    LeasedWorkers(WorkerPort &workers, Timers &timers, LeaderLease &lease);
    ~LeasedWorkers() override;
    LeasedWorkers(const LeasedWorkers &) = delete;
    LeasedWorkers &operator=(const LeasedWorkers &) = delete;

    void start(const WorkerTarget &worker, const StartOrder &order, const OrderCall &call,
               Done<Result<OrderOutcome>> done) override;
    void stop(const WorkerTarget &worker, const StopOrder &order, const OrderCall &call,
              Done<Result<OrderOutcome>> done) override;
    void inventory(const WorkerTarget &worker, const InventoryRequest &request,
                   Done<Result<InventoryOutcome>> done) override;

private:
    template <typename T>
    void fail(const WorkerTarget &worker, const char *step, Done<Result<T>> done);

    WorkerPort &m_workers;
    Timers &m_timers;
    LeaderLease &m_lease;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
