#pragma once

#include "membership.h"
#include "relaymessages.h"

#include <cell/ports.h>

#include <base/eventlog.h>
#include <base/metrics.h>
#include <eventloop/answertimes.h>
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

/// Calls the workers of a large cell through daemons in their data centres, so that the owner of
/// the shard needs a connection and a few bytes for a batch of calls and not for each of them.
/// A small cell is called directly, and so is every repetition of a call without an answer.
///
/// A relayed call is as good as a direct one: if its daemon fails, its outcome is unknown (timeout)
/// unless the batch was certainly not sent, and then it is made directly.
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
        std::size_t fewestWorkersToRelay = 0;
    };

    /// \p deposed is called when a daemon shows that there is a newer owner; not from within a
    /// call.
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

    /// A call that was given to a daemon.
    struct Pending
    {
        std::variant<OrderDone, InventoryDone> done;
        RelayedCall call;
        TimePoint due{};     ///< The daemon must have told an outcome by then.
        bool failed = false; ///< Reported as unknown; the answer may still come.
    };

    /// A daemon that relays calls.
    struct Agent
    {
        std::string name;
        std::string address;
        std::vector<std::uint64_t> outbox; ///< Calls of the next batch.
        std::unordered_map<std::uint64_t, Pending> pending;
        /// What its clock is ahead of this daemon's, from its last answer. Until it is known, calls
        /// are made directly.
        std::optional<Duration> clockOffset;
        std::size_t open = 0;    ///< Pending calls that were not reported as unknown.
        std::size_t batches = 0; ///< Sent and not answered.
        bool flushScheduled = false;
        TimePoint avoidUntil{};
        TimePoint overdueChecked{};
        std::uint32_t failures = 0; ///< In a row.
    };

    /// The workers of a data centre and the daemons that relay their calls.
    struct Group
    {
        std::unordered_set<std::string> workers;
        std::vector<std::string> agents;
        TimePoint chosen{}; ///< When the agents were chosen.
    };

    /// Null if the call is to be made directly.
    Agent *agentFor(const WorkerTarget &worker);
    void chooseAgents(const std::string &dataCentre, Group &group);
    [[nodiscard]] bool avoided(const std::string &name) const;
    void relay(Agent &agent, RelayedCall call, std::variant<OrderDone, InventoryDone> done,
               Duration time);
    void askClock(Agent &agent);
    void flushSoon(Agent &agent);
    void flush(Agent &agent);
    void send(Agent &agent, const std::vector<std::uint64_t> &sent);
    void answered(Agent &agent, const std::vector<std::uint64_t> &sent,
                  const Result<PeerAnswer> &answer);
    void observe(Duration taken, Duration limit, const Result<PeerAnswer> &answer);
    [[nodiscard]] Duration reserve() const;
    void deliver(Agent &agent, const RelayReply &reply);
    void stopCalling();
    void failed(Agent &agent, const std::vector<std::uint64_t> &sent, const Error &error);
    void callDirectly(Agent &agent, std::uint64_t number);
    void reportUnknown(Agent &agent, std::uint64_t number);
    void reportOverdue(Agent &agent);

    Ports m_ports;
    const Membership &m_membership;
    Settings m_settings;
    std::function<void()> m_deposed;
    AnswerTimes m_delays; ///< Of answers to batches, beyond the time for which they are held.
    std::uint64_t m_lastCall = 0;
    std::map<std::string, Agent> m_agents; ///< By name.
    std::map<std::string, Group> m_groups; ///< By data centre.
    std::size_t m_workerCount = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
