#pragma once

#include <cell/clientresults.h>
#include <cell/discovery.h>
#include <cell/model.h>
#include <cell/policy.h>
#include <cell/ports.h>

#include <base/eventlog.h>
#include <base/metrics.h>
#include <eventloop/timers.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cowsliprock::cell {

/// One daemon of a cell: serves client requests and schedules the shards that it owns.
/// Everything runs on the event loop's thread; no member function blocks.
class Node
{
public:
    struct Ports
    {
        StorePort &store;
        WorkerPort &workers;
        AdvicePort &advice;
        PeerPort &peers;
        Timers &timers;
        EventLog &log;
        Metrics &metrics;
    };

    struct Settings
    {
        std::string name;
        std::uint64_t incarnation = 0; ///< Differs between two starts of the same daemon.
        std::string dataCentre;
        std::string address; ///< Address at which peers reach this daemon.
        double weight = 1.0; ///< CPU share of the daemon.
        std::uint32_t shards = 1;
        Duration lease{ std::chrono::seconds(5) };     ///< Lease of tasks on a worker.
        Duration maxLease{ std::chrono::seconds(10) }; ///< Maximum that a worker grants.
        /// Maximum time that a worker takes to stop a run.
        Duration stopTimeout{ std::chrono::milliseconds(900) };
        /// Retention of finished jobs' states.
        Duration statusRetention{ std::chrono::seconds(130) };
        PlacementPolicy policy;
        /// With fewer workers than this, the shard owner calls all workers directly, which is
        /// cheaper than relaying.
        std::size_t minWorkersForRelay = 100;
    };

    Node(const Ports &ports, Settings settings, PlatformRecords records);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();

    /// True if client requests can be served.
    [[nodiscard]] bool ready() const noexcept;

    /// Recovers from an error that may have left the scheduling state inconsistent: releases the
    /// owned shards and claims them again, which reloads their state from the store and workers.
    void recover();

    /// Hands over all shards. \p done is called exactly once, after \p limit at the latest.
    void shutdown(Duration limit, std::function<void()> done);

    /// Sets the callback for each new configuration. Must be called before start().
    void onConfiguration(std::function<void(const CellConfiguration &)> action);

    /// The current configuration, or null until the first one has been read.
    [[nodiscard]] const CellConfiguration *configuration() const noexcept;

    /// Submits a job of the caller to a queue. \p done is called by \p deadline.
    void submit(const std::string &id, const Caller &caller, const QueueSettings &queue,
                JobSpec spec, TimePoint deadline, const Done<SubmitResult> &done);
    /// Delay after which a caller that is rejected now should retry.
    [[nodiscard]] std::chrono::seconds retryAfter() const noexcept;
    /// Delay after which the caller should retry a job that was refused as excess.
    [[nodiscard]] std::chrono::seconds excessRetryAfter(const std::string &id,
                                                        const Caller &caller) const;
    void status(const std::string &id, const Done<StatusAnswer> &done);
    void cancel(const std::string &id, TimePoint deadline, const Done<CancelResult> &done);

    /// Counts the accepted jobs of a queue of which no task has started; nullopt if a shard could
    /// not be queried.
    void pending(const std::string &queue, const Done<std::optional<std::uint64_t>> &done);

    /// Handles a request from another daemon.
    void peerCall(const std::string &method, const std::string &path, const std::string &body,
                  const Done<PeerAnswer> &done);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cowsliprock::cell
