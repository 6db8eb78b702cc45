#pragma once

#include "link.h"

#include <standincell/world.h>

#include <ingress.h>

#include <base/eventlog.h>
#include <base/metrics.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cowsliprock::standincell {

/// Timers of one node. They are dropped when the node is killed and deferred while it is frozen or
/// busy.
class NodeTimers : public Timers
{
public:
    NodeTimers(World &world, VirtualTime &time, World::NodeSlot &slot)
        : m_world(world)
        , m_time(time)
        , m_slot(slot)
    { }

    [[nodiscard]] TimePoint now() const noexcept override;
    [[nodiscard]] std::chrono::system_clock::time_point timeOfDay() const noexcept override
    {
        return m_time.timeOfDay();
    }
    void after(Duration delay, std::function<void()> action) override;

    /// Runs \p action in the node's process: dropped if it has ended, deferred while it is frozen.
    void deliver(std::uint64_t generation, std::function<void()> action);

private:
    [[nodiscard]] std::uint64_t inspections() const;

    World &m_world;
    VirtualTime &m_time;
    World::NodeSlot &m_slot;
    TimePoint m_busyUntil{};
    std::uint64_t m_inspectionsBefore = 0; ///< Inspection count before the current action.
    bool m_running = false;
};

class NodeStore;
class NodeWorkers;
class NodeAdvice;
class NodePeers;

struct World::NodeSlot
{
    NodeSlot(World &world, VirtualTime &time, StoreModel &store, std::string nodeName);
    ~NodeSlot();
    NodeSlot(const NodeSlot &) = delete;
    NodeSlot &operator=(const NodeSlot &) = delete;

    std::string name;
    std::uint64_t generation = 0;
    TimePoint frozenUntil{};
    StoreFault fault = StoreFault::None;
    EventLog log;
    Metrics metrics;
    std::unique_ptr<NodeTimers> timers;
    std::unique_ptr<NodeStore> store;
    std::unique_ptr<NodeWorkers> workers;
    std::unique_ptr<NodeAdvice> advice;
    std::unique_ptr<NodePeers> peers;
    std::unique_ptr<cell::Node> node;
    std::unique_ptr<platform::Ingress> ingress;
};

struct World::WorkerSlot
{
    /// True if the node has a connection on which the worker has shown this incarnation.
    [[nodiscard]] bool hasShown(const std::string &node, std::int64_t born) const
    {
        const auto entry = shownBorn.find(node);
        return entry != shownBorn.end() && entry->second == born;
    }

    std::unique_ptr<WorkerModel> model;
    std::string kind = defaultWorkerKind;
    bool isolated = false;
    bool down = false; ///< Its process has crashed: connections are refused.
    bool cutFromStore = false;
    bool draining = false;
    std::set<std::string> formerIds;    ///< Ids of workers that this one has replaced.
    std::set<std::string> isolatedFrom; ///< Names of the nodes whose calls are dropped.
    /// Worker instance to which the connections of each node lead; older connections were reset.
    std::map<std::string, std::int64_t> connections;
    /// By node: incarnation shown by the last answer on its connection.
    std::map<std::string, std::int64_t> shownBorn;
    /// Resets the connection of each pending poll.
    std::map<std::uint64_t, std::function<void()>> pendingPolls;
    std::uint64_t lastPoll = 0;

    [[nodiscard]] bool reachableFrom(const std::string &node) const
    {
        return !isolated && !isolatedFrom.contains(node);
    }

    [[nodiscard]] bool refuses(const std::string &node) const
    {
        return down && !isolatedFrom.contains(node);
    }

    /// Returns false if the node's connection was reset since its last call; it is reopened for the
    /// next call.
    bool checkConnection(const std::string &node);

    /// Ends the process of the worker, which resets its connections.
    void crash();
};

/// Connection of one node to the store.
class NodeStore : public cell::StorePort
{
public:
    NodeStore(World &world, VirtualTime &time, StoreModel &store, World::NodeSlot &slot)
        : m_world(world)
        , m_time(time)
        , m_store(store)
        , m_slot(slot)
    { }

    void read(const std::string &key,
              cell::Done<Result<std::optional<cell::StoreItem>>> done) override;
    void list(const std::string &prefix, const std::string &after,
              cell::Done<Result<cell::StorePage>> done) override;
    void watch(const std::string &prefix, std::uint64_t after, Duration wait,
               cell::Done<Result<cell::StoreEvents>> done) override;
    void commit(const cell::Transaction &transaction,
                cell::Done<Result<cell::TransactionOutcome>> done) override;
    void grantLease(Duration timeToLive, cell::Done<Result<std::uint64_t>> done) override;
    void keepLease(std::uint64_t lease, cell::Done<Result<bool>> done) override;
    void endLease(std::uint64_t lease) override;

private:
    template <typename T>
    void call(bool write, std::function<T()> action, cell::Done<Result<T>> done);

    World &m_world;
    VirtualTime &m_time;
    StoreModel &m_store;
    World::NodeSlot &m_slot;
};

/// Connections of one node to the workers.
class NodeWorkers : public cell::WorkerPort
{
public:
    NodeWorkers(World &world, VirtualTime &time, World::NodeSlot &slot)
        : m_world(world)
        , m_time(time)
        , m_slot(slot)
    { }

    void start(const cell::WorkerTarget &worker, const cell::StartOrder &order,
               const cell::OrderCall &call, cell::Done<Result<cell::OrderOutcome>> done) override;
    void stop(const cell::WorkerTarget &worker, const cell::StopOrder &order,
              const cell::OrderCall &call, cell::Done<Result<cell::OrderOutcome>> done) override;
    void inventory(const cell::WorkerTarget &worker, const cell::InventoryRequest &request,
                   cell::Done<Result<cell::InventoryOutcome>> done) override;

private:
    /// Worker instance to which a request was sent; a later instance does not receive it.
    struct Connection
    {
        World::WorkerSlot *slot = nullptr;
        std::int64_t born = 0;
    };

    [[nodiscard]] Connection connect(const cell::WorkerTarget &worker);
    /// Returns true if the connection leads to an earlier instance of the worker.
    [[nodiscard]] bool isStale(const Connection &connection) const;

    /// Reports the outcome of one call to the node: a reply, a timeout, or a timeout and a late
    /// reply.
    template <typename T>
    class Answer;

    template <typename T>
    std::shared_ptr<Answer<T>> awaitAnswer(Duration timeout, const char *step,
                                           const cell::Done<Result<T>> &done);
    /// An order for one incarnation is refused by any other.
    void order(const cell::WorkerTarget &worker, std::optional<std::int64_t> incarnation,
               const cell::OrderCall &call, std::size_t bytes,
               const std::function<cell::OrderOutcome(WorkerModel &)> &action,
               const cell::Done<Result<cell::OrderOutcome>> &done);
    [[nodiscard]] Duration requestDelay(std::size_t bytes);
    [[nodiscard]] Duration replyDelay(std::size_t bytes);

    World &m_world;
    VirtualTime &m_time;
    World::NodeSlot &m_slot;
    Link m_outboundLink;
    Link m_inboundLink;
};

/// Connection of one node to the policy service.
class NodeAdvice : public cell::AdvicePort
{
public:
    NodeAdvice(World &world, VirtualTime &time, World::NodeSlot &slot)
        : m_world(world)
        , m_time(time)
        , m_slot(slot)
    { }

    void advise(const std::string &step, const std::vector<std::string> &workers, Duration timeout,
                cell::Done<Result<cell::Advice>> done) override;

private:
    World &m_world;
    VirtualTime &m_time;
    World::NodeSlot &m_slot;
    TimePoint m_adviceFreeAt{};
};

/// Connections of one node to the other nodes.
class NodePeers : public cell::PeerPort
{
public:
    NodePeers(World &world, VirtualTime &time, World::NodeSlot &slot)
        : m_world(world)
        , m_time(time)
        , m_slot(slot)
    { }

    void call(const cell::PeerCall &call, cell::Done<Result<cell::PeerAnswer>> done) override;

private:
    World &m_world;
    VirtualTime &m_time;
    World::NodeSlot &m_slot;
};

} // namespace cowsliprock::standincell
