#pragma once

#include "link.h"

#include <standincell/world.h>

#include <base/eventlog.h>
#include <base/metrics.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cowsliprock::standincell {

/// Timers of one node: they die with it, and wait while it is frozen or its processor is busy.
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

    /// Calls \p action as the node's process would: not after its end, later if it is frozen.
    void deliver(std::uint64_t life, std::function<void()> action);

private:
    [[nodiscard]] std::uint64_t looks() const;

    World &m_world;
    VirtualTime &m_time;
    World::NodeSlot &m_slot;
    TimePoint m_busyUntil{};
    std::uint64_t m_looksBefore = 0; ///< Before the action that runs.
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
    std::uint64_t life = 0;
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
};

struct World::WorkerSlot
{
    std::unique_ptr<WorkerModel> model;
    bool cut = false;
    bool draining = false;
    std::set<std::string> cutFrom; ///< Names of the nodes that it does not hear.
    /// Life of the worker to which a node's connections lead; others have been reset.
    std::map<std::string, std::int64_t> connections;

    [[nodiscard]] bool hears(const std::string &node) const
    {
        return !cut && !cutFrom.contains(node);
    }

    /// False if the node's connection was reset since its last call; the next one is a new one.
    bool connected(const std::string &node);
};

/// The store as one node reaches it.
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

/// Workers as one node reaches them.
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
    /// A request reaches the life of the worker that it was sent to, or none.
    struct Connection
    {
        World::WorkerSlot *slot = nullptr;
        std::int64_t born = 0;
    };

    [[nodiscard]] Connection connect(const cell::WorkerTarget &worker);
    /// True if a former life of the worker was at the other end.
    [[nodiscard]] bool reset(const Connection &connection) const;

    /// Gives the outcome of one call to the node: the timeout, the answer, or one after the other.
    template <typename T>
    class Answer;

    template <typename T>
    std::shared_ptr<Answer<T>> awaitAnswer(Duration timeout, const char *step,
                                           const cell::Done<Result<T>> &done);
    void order(const cell::WorkerTarget &worker, const cell::OrderCall &call, std::size_t bytes,
               const std::function<cell::OrderOutcome(WorkerModel &)> &action,
               const cell::Done<Result<cell::OrderOutcome>> &done);
    [[nodiscard]] Duration wayOut(std::size_t bytes);
    [[nodiscard]] Duration wayBack(std::size_t bytes);

    World &m_world;
    VirtualTime &m_time;
    World::NodeSlot &m_slot;
    Link m_out;
    Link m_back;
};

/// The policy service as one node reaches it.
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
    TimePoint m_adviceFree{};
};

/// The other nodes.
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
