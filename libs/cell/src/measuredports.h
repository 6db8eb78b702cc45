#pragma once

#include <cell/ports.h>

#include <base/eventlog.h>
#include <base/metrics.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <string>
#include <utility>

namespace cowsliprock::cell {

/// Instruments a daemon's calls to its dependencies: a latency histogram for each kind of call,
/// failure counts, and at most one log entry per second about slow calls.
class CallMeter
{
public:
    CallMeter(Timers &timers, EventLog &log, Metrics &metrics) noexcept
        : m_timers(timers)
        , m_log(log)
        , m_metrics(metrics)
    { }

    /// Returns a callback that records the outcome of the call and then calls \p done. \p name is
    /// for example "store.commit".
    template <typename T>
    [[nodiscard]] Done<Result<T>> measure(const char *name, Done<Result<T>> done)
    {
        m_metrics.count(std::string(name) + ".calls");
        return [this, name, startTime = m_timers.now(), done = std::move(done)](Result<T> result) {
            ended(name, startTime, result.has_value() ? nullptr : &result.error());
            done(std::move(result));
        };
    }

    /// As measure(), but without the latency: for calls that wait for an event.
    template <typename T>
    [[nodiscard]] Done<Result<T>> count(const char *name, Done<Result<T>> done)
    {
        m_metrics.count(std::string(name) + ".calls");
        return [this, name, done = std::move(done)](Result<T> result) {
            if (!result.has_value())
                failed(name, result.error());
            done(std::move(result));
        };
    }

private:
    void ended(const char *name, TimePoint startTime, const Error *error);
    void failed(const char *name, const Error &error);
    void recordSlowCall(const char *name, Duration time);

    Timers &m_timers;
    EventLog &m_log;
    Metrics &m_metrics;
    TimePoint m_lastSlowLog{};
    std::uint64_t m_slowCalls = 0; ///< Slow calls since the last log entry about them.
    Duration m_slowest{};
    std::string m_slowestName;
};

class MeasuredStore : public StorePort
{
public:
    MeasuredStore(StorePort &store, CallMeter &meter) noexcept
        : m_store(store)
        , m_meter(meter)
    { }

    void read(const std::string &key, Done<Result<std::optional<StoreItem>>> done) override;
    void list(const std::string &prefix, const std::string &after,
              Done<Result<StorePage>> done) override;
    void watch(const std::string &prefix, std::uint64_t after, Duration wait,
               Done<Result<StoreEvents>> done) override;
    void commit(const Transaction &transaction, Done<Result<TransactionOutcome>> done) override;
    void grantLease(Duration timeToLive, Done<Result<std::uint64_t>> done) override;
    void keepLease(std::uint64_t lease, Done<Result<bool>> done) override;
    void endLease(std::uint64_t lease) override { m_store.endLease(lease); }

private:
    StorePort &m_store;
    CallMeter &m_meter;
};

class MeasuredWorkers : public WorkerPort
{
public:
    MeasuredWorkers(WorkerPort &workers, CallMeter &meter) noexcept
        : m_workers(workers)
        , m_meter(meter)
    { }

    void start(const WorkerTarget &worker, const StartOrder &order, const OrderCall &call,
               Done<Result<OrderOutcome>> done) override;
    void stop(const WorkerTarget &worker, const StopOrder &order, const OrderCall &call,
              Done<Result<OrderOutcome>> done) override;
    void inventory(const WorkerTarget &worker, const InventoryRequest &request,
                   Done<Result<InventoryOutcome>> done) override;

private:
    WorkerPort &m_workers;
    CallMeter &m_meter;
};

class MeasuredAdvice : public AdvicePort
{
public:
    MeasuredAdvice(AdvicePort &advice, CallMeter &meter) noexcept
        : m_advice(advice)
        , m_meter(meter)
    { }

    void advise(const std::string &step, const std::vector<std::string> &workers, Duration timeout,
                Done<Result<Advice>> done) override;

private:
    AdvicePort &m_advice;
    CallMeter &m_meter;
};

class MeasuredPeers : public PeerPort
{
public:
    MeasuredPeers(PeerPort &peers, CallMeter &meter) noexcept
        : m_peers(peers)
        , m_meter(meter)
    { }

    void call(const PeerCall &call, Done<Result<PeerAnswer>> done) override;

private:
    PeerPort &m_peers;
    CallMeter &m_meter;
};

} // namespace cowsliprock::cell
