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

/// One daemon of a cell: takes calls of clients, and schedules the shards that it owns.
/// Everything runs in the thread of the event loop; no member blocks.
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
        std::uint64_t incarnation = 0; ///< Differs between two starts of a daemon.
        std::string dataCentre;
        std::string address; ///< At which peers call this daemon.
        double weight = 1.0; ///< Processor share.
        std::uint32_t shards = 1;
        Duration lease{ std::chrono::seconds(5) };         ///< Of tasks on a worker.
        Duration longestLease{ std::chrono::seconds(10) }; ///< That a worker grants at all.
        Duration statusKept{ std::chrono::seconds(130) };  ///< State of an ended job.
        PlacementPolicy policy;
        /// A cell with fewer workers is called by its owner alone, which costs less there.
        std::size_t fewestWorkersToRelay = 100;
    };

    Node(const Ports &ports, Settings settings, PlatformRecords records);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();

    /// True if calls of clients can be handled.
    [[nodiscard]] bool ready() const noexcept;

    /// After an error in the middle of a decision: gives up its shards and claims them anew, so
    /// that their state comes from the store and the workers again.
    void recover();

    /// Hands over all shards. \p done is called once, after at most \p limit.
    void shutdown(Duration limit, std::function<void()> done);

    /// The configuration in force, or null before the first one is known.
    [[nodiscard]] const CellConfiguration *configuration() const noexcept;

    /// Accepts a job of a queue. \p done is called by \p deadline.
    void submit(const std::string &id, const QueueSettings &queue, JobSpec spec, TimePoint deadline,
                const Done<SubmitResult> &done);
    /// When a caller that is refused now should try again.
    [[nodiscard]] std::chrono::seconds comeBackAfter() const noexcept;
    void status(const std::string &id, const Done<StatusAnswer> &done);
    void cancel(const std::string &id, TimePoint deadline, const Done<CancelResult> &done);

    /// Accepted jobs of a queue of which no task has started; nothing if nobody could be asked.
    void pending(const std::string &queue, const Done<std::optional<std::uint64_t>> &done);

    /// Handles a call of another daemon.
    void peerCall(const std::string &method, const std::string &path, const std::string &body,
                  const Done<PeerAnswer> &done);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cowsliprock::cell
