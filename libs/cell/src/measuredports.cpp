#include "measuredports.h"

namespace cowsliprock::cell {

namespace {

/// Threshold above which calls are logged; the store normally responds within a few milliseconds.
constexpr std::chrono::milliseconds slowCall{ 200 };
constexpr std::chrono::seconds slowLogInterval{ 1 };

} // namespace

void CallMeter::ended(const char *name, TimePoint startTime, const Error *error)
{
    const auto time = m_timers.now() - startTime;
    m_metrics.observe(std::string(name) + ".seconds", std::chrono::duration<double>(time).count());
    if (error != nullptr)
        failed(name, *error);
    if (time >= slowCall)
        recordSlowCall(name, time);
}

void CallMeter::failed(const char *name, const Error &error)
{
    m_metrics.count(std::string(name) + ".failed." + toString(error.kind));
}

void CallMeter::recordSlowCall(const char *name, Duration time)
{
    ++m_slowCalls;
    if (time > m_slowest) {
        m_slowest = time;
        m_slowestName = name;
    }
    const auto now = m_timers.now();
    if (now - m_lastSlowLog < slowLogInterval)
        return;
    m_lastSlowLog = now;
    m_log.write(now, "calls.slow",
                { { "calls", std::exchange(m_slowCalls, 0) },
                  { "slowest", m_slowestName },
                  { "ms", toMilliseconds(m_slowest) } });
    m_slowest = {};
}

void MeasuredStore::read(const std::string &key, Done<Result<std::optional<StoreItem>>> done)
{
    m_store.read(key, m_meter.measure("store.read", std::move(done)));
}

void MeasuredStore::list(const std::string &prefix, const std::string &after,
                         Done<Result<StorePage>> done)
{
    m_store.list(prefix, after, m_meter.measure("store.list", std::move(done)));
}

void MeasuredStore::watch(const std::string &prefix, std::uint64_t after, Duration wait,
                          Done<Result<StoreEvents>> done)
{
    m_store.watch(prefix, after, wait, m_meter.count("store.watch", std::move(done)));
}

void MeasuredStore::commit(const Transaction &transaction, Done<Result<TransactionOutcome>> done)
{
    m_store.commit(transaction, m_meter.measure("store.commit", std::move(done)));
}

void MeasuredStore::grantLease(Duration timeToLive, Done<Result<std::uint64_t>> done)
{
    m_store.grantLease(timeToLive, m_meter.measure("store.grantLease", std::move(done)));
}

void MeasuredStore::keepLease(std::uint64_t lease, Done<Result<bool>> done)
{
    m_store.keepLease(lease, m_meter.measure("store.keepLease", std::move(done)));
}

void MeasuredWorkers::start(const WorkerTarget &worker, const StartOrder &order,
                            const OrderCall &call, Done<Result<OrderOutcome>> done)
{
    m_workers.start(worker, order, call, m_meter.measure("worker.start", std::move(done)));
}

void MeasuredWorkers::stop(const WorkerTarget &worker, const StopOrder &order,
                           const OrderCall &call, Done<Result<OrderOutcome>> done)
{
    m_workers.stop(worker, order, call, m_meter.measure("worker.stop", std::move(done)));
}

void MeasuredWorkers::inventory(const WorkerTarget &worker, const InventoryRequest &request,
                                Done<Result<InventoryOutcome>> done)
{
    const bool waits = request.wait > Duration::zero();
    m_workers.inventory(worker, request,
                        waits ? m_meter.count("worker.inventory", std::move(done))
                              : m_meter.measure("worker.inventory", std::move(done)));
}

void MeasuredAdvice::advise(const std::string &step, const std::vector<std::string> &workers,
                            Duration timeout, Done<Result<Advice>> done)
{
    m_advice.advise(step, workers, timeout, m_meter.measure("advice.advise", std::move(done)));
}

void MeasuredPeers::call(const PeerCall &call, Done<Result<PeerAnswer>> done)
{
    m_peers.call(call, m_meter.measure("peer.call", std::move(done)));
}

} // namespace cowsliprock::cell
