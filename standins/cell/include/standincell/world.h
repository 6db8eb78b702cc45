#pragma once

#include <standincell/promises.h>
#include <standincell/storemodel.h>
#include <standincell/virtualtime.h>
#include <standincell/workermodel.h>

#include <cell/node.h>
#include <cell/ports.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::standincell {

/// A cell in one process and in virtual time: nodes, a store, workers, a policy service.
class World
{
public:
    struct Settings
    {
        std::uint32_t nodes = 3;
        std::uint32_t workers = 6;
        Resources workerCapacity{ 16000, 65536, 0 };
        std::uint32_t seed = 1;
        Duration stopTime{ std::chrono::milliseconds(50) }; ///< That a stop of a task takes.
        bool advice = false;
        /// Queues of the configuration; if there are none, one named "batch".
        std::vector<cell::QueueSettings> queues;
        cell::PlacementPolicy policy;
        double adviceAllows = 0.6; ///< Share of the workers that a step may use.
        std::size_t fewestWorkersToRelay = 100;
        std::vector<double> weights; ///< Of the nodes; those without one weigh 1.
        /// Processor time of a node for each event and for each worker or step that its scheduler
        /// looks at; 0: none. Meanwhile other events wait.
        Duration eventCost{};
        std::chrono::nanoseconds lookCost{};
        /// Rate of a node's link to the workers in each direction; 0: without a bound.
        double linkBytesPerSecond = 0;
    };

    struct JobPlan
    {
        cell::JobSpec spec;
        std::string queue = "batch";
        Duration work{ std::chrono::milliseconds(400) };
        std::set<std::uint32_t> failingRuns; ///< Numbers of starts of a task that fail, from 1 on.
    };

    explicit World(const Settings &settings);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    void run(Duration time) { m_time.run(time); }

    // Faults.
    void kill(std::uint32_t node);
    void start(std::uint32_t node);
    void freeze(std::uint32_t node, Duration time);
    /// An unexpected error in the middle of a decision.
    void upset(std::uint32_t node);
    void terminate(std::uint32_t node); ///< Orderly end; the node is started again later.
    void storeFault(std::uint32_t node, StoreFault fault);
    void storeFaultForAll(StoreFault fault);
    void cutWorker(std::uint32_t worker, bool cut);
    /// The worker does not hear one of the nodes.
    void cutWorkerFrom(std::uint32_t node, std::uint32_t worker, bool cut);
    /// The worker works at this share of its speed; 0: what runs there stands still.
    void slowWorker(std::uint32_t worker, double speed);
    void crashWorker(std::uint32_t worker);
    /// The worker is gone with all that it ran; cutWorker() brings it back.
    void removeWorker(std::uint32_t worker);
    /// The worker says that it leaves.
    void drainWorker(std::uint32_t worker);
    /// The operator stores the next version of the configuration.
    void changeConfiguration();
    void lateOrders(double share) { m_lateOrders = share; }
    void compactStore() { m_store.compact(); }
    /// Lets the links of all nodes to the workers carry this share of their rate.
    void linkShare(double share) { m_linkShare = share; }

    // Calls of a client through a node.
    void submit(std::uint32_t node, const std::string &id, const JobPlan &plan,
                std::optional<cell::SubmitResult> *result = nullptr);
    /// When a caller that the node refuses now should try again.
    [[nodiscard]] std::chrono::seconds comeBackAfter(std::uint32_t node) const;
    void cancel(std::uint32_t node, const std::string &id);
    /// Asks for the state until the job has ended.
    [[nodiscard]] std::optional<cell::JobStatus> status(std::uint32_t node, const std::string &id);

    /// Lets a node handle a call of another daemon, and waits for the answer.
    cell::PeerAnswer callPeer(std::uint32_t node, const std::string &path, const std::string &body);

    /// Clock of all nodes.
    [[nodiscard]] std::chrono::milliseconds clock() const
    {
        return std::chrono::milliseconds(toMilliseconds(m_time.now().time_since_epoch()));
    }
    /// Revision under which the shard is owned.
    [[nodiscard]] std::uint64_t revision() const;

    [[nodiscard]] Promises &promises() noexcept { return m_promises; }
    [[nodiscard]] StoreModel &store() noexcept { return m_store; }
    [[nodiscard]] VirtualTime &time() noexcept { return m_time; }
    [[nodiscard]] WorkerModel &worker(std::uint32_t index);

    /// The node that owns the shard, from the store.
    [[nodiscard]] std::optional<std::uint32_t> owner() const;
    [[nodiscard]] bool alive(std::uint32_t node) const;
    /// Version of the configuration that a node has in force; 0 if it has none.
    [[nodiscard]] std::uint64_t configurationOf(std::uint32_t node) const;
    [[nodiscard]] std::string logOf(std::uint32_t node) const;
    /// Calls of one kind that a node has made, for example of "store.commit".
    [[nodiscard]] std::uint64_t callsOf(std::uint32_t node, const std::string &name) const;

    /// Value of one of the node's counters.
    [[nodiscard]] std::uint64_t counterOf(std::uint32_t node, const std::string &name) const;

    struct NodeSlot;
    struct WorkerSlot;

    // For the ports of the nodes.
    [[nodiscard]] Duration delay();
    WorkerSlot *findWorker(const std::string &id);
    NodeSlot *findNode(const std::string &address);
    [[nodiscard]] double linkRate() const noexcept
    {
        return m_settings.linkBytesPerSecond * m_linkShare;
    }
    [[nodiscard]] Duration eventCost() const noexcept { return m_settings.eventCost; }
    [[nodiscard]] std::chrono::nanoseconds lookCost() const noexcept { return m_settings.lookCost; }
    [[nodiscard]] bool ordersLate() { return m_chance(m_random) < m_lateOrders; }
    [[nodiscard]] bool allowed(const std::string &step, const std::string &worker) const;
    /// Time that the policy service takes to answer.
    [[nodiscard]] Duration adviceTime(const std::string &step, std::size_t workerCount) const;

private:
    void publishWorker(WorkerSlot &slot);
    TaskPlan plan(const cell::TaskId &task);

    Settings m_settings;
    VirtualTime m_time;
    StoreModel m_store;
    Promises m_promises;
    std::mt19937 m_random;
    std::uniform_real_distribution<double> m_chance{ 0.0, 1.0 };
    std::vector<std::unique_ptr<NodeSlot>> m_nodes;
    std::vector<std::unique_ptr<WorkerSlot>> m_workers;
    std::map<std::string, JobPlan> m_jobs;
    std::map<cell::TaskId, std::uint32_t> m_startsOfTask;
    std::uint64_t m_version = 0;
    double m_lateOrders = 0;
    double m_linkShare = 1;
};

} // namespace cowsliprock::standincell
