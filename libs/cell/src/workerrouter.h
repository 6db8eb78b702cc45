#pragma once

#include "membership.h"
#include "relaymessages.h"

#include <cell/ports.h>

#include <base/eventlog.h>
#include <base/metrics.h>
#include <eventloop/responsetimes.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace cowsliprock::cell {

/// Calls the workers of a large cell through daemons in their data centres, which saves the shard
/// owner a connection and some traffic per call by sending calls in batches. The workers of a small
/// cell are called directly, and so is a worker when a call without a response is retried.
///
/// A relayed call has the same semantics as a direct one: if the relaying daemon fails, the outcome
/// is unknown (timeout), unless the batch was certainly not sent, in which case the call is made
/// directly.
class WorkerRouter : public WorkerPort
{
public:
    struct Ports
    {
        WorkerPort &direct;
        PeerPort &peers;
        Timers &timers;
        EventLog &log;
        Metrics &metrics;
    };

    struct Settings
    {
        std::uint32_t shard = 0;
        std::uint64_t ownershipRevision = 0;
        std::size_t minWorkersForRelay = 0;
    };

    /// \p deposed is called when a daemon reports a newer owner, but never from within a member
    /// function.
    WorkerRouter(const Ports &ports, const Membership &membership, const Settings &settings,
                 std::function<void()> deposed);
    ~WorkerRouter() override;
    WorkerRouter(const WorkerRouter &) = delete;
    WorkerRouter &operator=(const WorkerRouter &) = delete;

    void start(const WorkerTarget &worker, const StartOrder &order, const OrderCall &call,
               Done<Result<OrderOutcome>> done) override;
    void stop(const WorkerTarget &worker, const StopOrder &order, const OrderCall &call,
              Done<Result<OrderOutcome>> done) override;
    void inventory(const WorkerTarget &worker, const InventoryRequest &request,
                   Done<Result<InventoryOutcome>> done) override;

private:
    using OrderDone = Done<Result<OrderOutcome>>;
    using InventoryDone = Done<Result<InventoryOutcome>>;

    /// A call that is relayed by a daemon.
    struct Pending
    {
        std::variant<OrderDone, InventoryDone> done;
        RelayedCall call;
        TimePoint due{};     ///< When the daemon must have reported an outcome.
        bool failed = false; ///< Reported as unknown; a late response may arrive.
    };

    /// A daemon that relays calls.
    struct Agent
    {
        std::string name;
        std::string address;
        std::vector<std::uint64_t> outbox; ///< Numbers of the calls of the next batch.
        std::unordered_map<std::uint64_t, Pending> pending;
        /// Offset of its clock from this daemon's, from its last response. Calls are made directly
        /// until it is known.
        std::optional<Duration> clockOffset;
        std::size_t open = 0;    ///< Pending calls that have not been reported as unknown.
        std::size_t batches = 0; ///< Batches that are waiting for a response.
        bool flushScheduled = false;
        TimePoint backoffUntil{};
        TimePoint overdueChecked{};
        std::uint32_t failures = 0; ///< Consecutive failures.
    };

    /// The workers of a data centre and the daemons that relay calls to them.
    struct Group
    {
        std::unordered_set<std::string> workers;
        std::vector<std::string> agents;
        TimePoint selected{}; ///< When the agents were selected.
    };

    /// Returns null if the call must be made directly.
    Agent *agentFor(const WorkerTarget &worker);
    void selectAgents(const std::string &dataCentre, Group &group);
    [[nodiscard]] bool isBackingOff(const std::string &name) const;
    void relay(Agent &agent, RelayedCall call, std::variant<OrderDone, InventoryDone> done,
               Duration time);
    void requestClock(Agent &agent);
    void scheduleFlush(Agent &agent);
    void flush(Agent &agent);
    void send(Agent &agent, const std::vector<std::uint64_t> &sent);
    void handleAnswer(Agent &agent, const std::vector<std::uint64_t> &sent,
                      const Result<PeerAnswer> &answer);
    void observe(Duration taken, Duration limit, const Result<PeerAnswer> &answer);
    [[nodiscard]] Duration exchangeTime() const;
    void deliver(Agent &agent, const RelayReply &reply);
    void handleDeposed();
    void failed(Agent &agent, const std::vector<std::uint64_t> &sent, const Error &error);
    void callDirectly(Agent &agent, std::uint64_t number);
    void reportUnknown(Agent &agent, std::uint64_t number);
    void reportOverdue(Agent &agent);

    Ports m_ports;
    const Membership &m_membership;
    Settings m_settings;
    std::function<void()> m_deposed;
    ResponseTimes m_delays; ///< Response times of batches, without their hold time.
    std::uint64_t m_lastCall = 0;
    std::map<std::string, Agent> m_agents; ///< By name.
    std::map<std::string, Group> m_groups; ///< By data centre.
    std::size_t m_workerCount = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
