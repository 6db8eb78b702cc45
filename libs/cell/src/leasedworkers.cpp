#include "leasedworkers.h"

#include <utility>

namespace cowsliprock::cell {

LeasedWorkers::LeasedWorkers(WorkerPort &workers, Timers &timers, LeaderLease &lease)
    : m_workers(workers)
    , m_timers(timers)
    , m_lease(lease)
{ }

LeasedWorkers::~LeasedWorkers()
{
    *m_alive = false;
}

template <typename T>
void LeasedWorkers::fail(const WorkerTarget &worker, const char *step, Done<Result<T>> done)
{
    m_timers.after(Duration::zero(),
                   [alive = m_alive, address = worker.address, step, done = std::move(done)] {
                       if (*alive)
                           done(Error{ ErrorKind::Unavailable, step, address,
                                       "the owner's lease has expired" });
                   });
}

void LeasedWorkers::start(const WorkerTarget &worker, const StartOrder &order,
                          const OrderCall &call, Done<Result<OrderOutcome>> done)
{
    if (m_lease.valid())
        m_workers.start(worker, order, call, std::move(done));
    else
        fail<OrderOutcome>(worker, "worker.start", std::move(done));
}

void LeasedWorkers::stop(const WorkerTarget &worker, const StopOrder &order, const OrderCall &call,
                         Done<Result<OrderOutcome>> done)
{
    if (m_lease.valid())
        m_workers.stop(worker, order, call, std::move(done));
    else
        fail<OrderOutcome>(worker, "worker.stop", std::move(done));
}

void LeasedWorkers::inventory(const WorkerTarget &worker, const InventoryRequest &request,
                              Done<Result<InventoryOutcome>> done)
{
    if (m_lease.valid())
        m_workers.inventory(worker, request, std::move(done));
    else
        fail<InventoryOutcome>(worker, "worker.inventory", std::move(done));
}

} // namespace cowsliprock::cell
