#pragma once

#include <standincell/documents.h>
#include <standincell/guaranteechecker.h>
#include <standincell/storemodel.h>
#include <standincell/virtualtime.h>
#include <standincell/workermodel.h>

#include <cell/node.h>
#include <cell/ports.h>
#include <eventloop/httpserver.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cowsliprock::standincell {

/// Simulates a cell in one process and in virtual time: nodes, store, workers and policy service.
class World
{
public:
    /// Attempts of a task in the queues of the simulated cell.
    static constexpr std::uint32_t maxAttempts = 2;

    struct Settings
    {
        std::uint32_t nodes = 3;
        std::uint32_t workers = 6;
        Resources workerCapacity{ 16000, 65536, 0 };
        std::uint32_t seed = 1;
        Duration stopTime{ std::chrono::milliseconds(50) }; ///< Time to stop a task.
        bool listsStoppingRuns = true; ///< Workers list runs that are being stopped as running.
        bool replacedWorkersKeepTheirId = false;
        bool advice = false;
        /// Queues of the configuration; if empty, a single queue named "batch" is used.
        std::vector<cell::QueueSettings> queues;
        std::vector<CustomerPlan> customers;
        cell::PlacementPolicy policy;
        double adviceAllowedShare = 0.6; ///< Fraction of the workers allowed for a step.
        std::size_t minWorkersForRelay = 100;
        std::vector<double> weights; ///< Node weights; missing entries default to 1.
        /// CPU time of a node per event and per worker or step that its scheduler inspects; 0
        /// disables it. Other events of the node wait meanwhile.
        Duration eventCost{};
        std::chrono::nanoseconds inspectionCost{};
        Duration statusRetention = cell::Node::Settings().statusRetention;
        /// Bandwidth of a node's link to the workers in each direction; 0 means unlimited.
        double linkBytesPerSecond = 0;
    };

    struct JobPlan
    {
        cell::JobSpec spec;
        std::string queue = "batch";
        std::string customer; ///< Empty: submitted without an API key.
        Duration work{ std::chrono::milliseconds(400) };
        std::set<std::uint32_t> failingRuns; ///< Failing starts of a task, counted from 1.
        double taskSpread = 0;    ///< Relative spread of the work of the tasks of a step.
        double longTaskShare = 0; ///< Share of tasks that take several times as long.
        bool deadly = false;      ///< Each start of a task crashes its worker.
    };

    explicit World(const Settings &settings);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    void run(Duration time) { m_time.run(time); }

    // Fault injection.
    void kill(std::uint32_t node);
    void start(std::uint32_t node);
    void freeze(std::uint32_t node, Duration time);
    /// Makes the node handle an unexpected error in the middle of a decision.
    void injectUnexpectedError(std::uint32_t node);
    void terminate(std::uint32_t node); ///< Graceful shutdown, followed by a restart.
    void setStoreFault(std::uint32_t node, StoreFault fault);
    void setStoreFaultForAll(StoreFault fault);
    /// Drops all calls to the worker; its store entry is removed after a while.
    void isolateWorker(std::uint32_t worker, bool isolated);
    /// Drops the calls from one node to the worker.
    void isolateWorkerFrom(std::uint32_t node, std::uint32_t worker, bool isolated);
    /// Drops the messages that one node sends to another one.
    void cutLink(std::uint32_t from, std::uint32_t to, bool cut);
    /// Cuts the nodes and workers off from the store and from all other nodes and workers, as when
    /// a data centre loses its connection; \p cut = false reconnects them.
    void cutOff(const std::set<std::uint32_t> &nodes, const std::set<std::uint32_t> &workers,
                bool cut);
    /// Sets the speed of the worker relative to normal; 0 stalls its tasks.
    void setWorkerSpeed(std::uint32_t worker, double speed);
    /// Changes the capacity of the worker and its store entry; a worker without a path to the store
    /// publishes the change when it is reconnected.
    void setWorkerCapacity(std::uint32_t worker, const Resources &capacity);
    /// Restarts the worker as another kind; its next incarnation writes its store entry after this
    /// time.
    void crashWorker(std::uint32_t worker, Duration publishedAfter = {},
                     const std::string &kind = defaultWorkerKind);
    /// Crashes the worker; after \p downtime another one takes its place at its address.
    void replaceWorker(std::uint32_t worker, Duration downtime);
    /// Removes the worker and all its tasks; isolateWorker(worker, false) adds it again.
    void removeWorker(std::uint32_t worker);
    /// Marks the worker as draining.
    void drainWorker(std::uint32_t worker);
    /// Stores the next version of the configuration, as the operator does.
    void changeConfiguration();
    /// Stores the next version of the configuration, with these customers.
    void changeCustomers(std::vector<CustomerPlan> customers);
    void setLateOrderShare(double share) { m_lateOrderShare = share; }
    /// Share of the calls to workers that are executed, but not answered.
    void setLostAnswerShare(double share) { m_lostAnswerShare = share; }
    /// Adds a standing delay to all messages, in each direction.
    void setExtraDelay(Duration delay) { m_extraDelay = delay; }
    void compactStore() { m_store.compact(); }
    /// Limits the links of all nodes to the workers to this fraction of their bandwidth.
    void setLinkShare(double share) { m_linkShare = share; }

    // Client calls through a node.
    void submit(std::uint32_t node, const std::string &id, const JobPlan &plan,
                std::optional<cell::SubmitResult> *result = nullptr);
    /// Sends an HTTP request of a client to the node and waits 800 ms for the response; nothing if
    /// there is none by then.
    [[nodiscard]] std::optional<HttpServerResponse> request(std::uint32_t node,
                                                            const HttpRequest &request);
    /// Retry delay that the node advises to callers that it refuses now.
    [[nodiscard]] std::chrono::seconds retryAfter(std::uint32_t node) const;
    void cancel(std::uint32_t node, const std::string &id,
                std::optional<cell::CancelResult> *result = nullptr);
    /// Requests the status of a job and waits 800 ms for the reply.
    [[nodiscard]] std::optional<cell::JobStatus> status(std::uint32_t node, const std::string &id);

    /// Sends a call of another daemon to a node and waits for the reply.
    cell::PeerAnswer callPeer(std::uint32_t node, const std::string &path, const std::string &body);

    /// Clock shared by all nodes.
    [[nodiscard]] std::chrono::milliseconds clock() const
    {
        return std::chrono::milliseconds(toMilliseconds(m_time.now().time_since_epoch()));
    }
    /// Store revision of the current ownership record, or 0 if there is none.
    [[nodiscard]] std::uint64_t revision() const;

    [[nodiscard]] GuaranteeChecker &guarantees() noexcept { return m_guarantees; }
    [[nodiscard]] StoreModel &store() noexcept { return m_store; }
    [[nodiscard]] VirtualTime &time() noexcept { return m_time; }
    [[nodiscard]] WorkerModel &worker(std::uint32_t index);

    /// Node that owns the shard according to the store.
    [[nodiscard]] std::optional<std::uint32_t> owner() const;
    [[nodiscard]] bool alive(std::uint32_t node) const;
    /// Configuration version in force on a node, or 0 if it has none.
    [[nodiscard]] std::uint64_t configurationOf(std::uint32_t node) const;
    [[nodiscard]] std::string logOf(std::uint32_t node) const;
    /// Number of calls of one kind made by a node, for example "store.commit".
    [[nodiscard]] std::uint64_t callsOf(std::uint32_t node, const std::string &name) const;

    [[nodiscard]] std::uint64_t counterOf(std::uint32_t node, const std::string &name) const;

    struct NodeSlot;
    struct WorkerSlot;

    // Used by the ports of the nodes.
    [[nodiscard]] Duration delay();
    WorkerSlot *findWorker(const std::string &id);
    NodeSlot *findNode(const std::string &address);
    [[nodiscard]] double linkRate() const noexcept
    {
        return m_settings.linkBytesPerSecond * m_linkShare;
    }
    [[nodiscard]] Duration eventCost() const noexcept { return m_settings.eventCost; }
    [[nodiscard]] std::chrono::nanoseconds inspectionCost() const noexcept
    {
        return m_settings.inspectionCost;
    }
    [[nodiscard]] bool isOrderLate() { return m_chance(m_random) < m_lateOrderShare; }
    [[nodiscard]] bool isAnswerLost()
    {
        return m_lostAnswerShare > 0 && m_chance(m_random) < m_lostAnswerShare;
    }
    [[nodiscard]] bool allowed(const std::string &step, const std::string &worker) const;
    /// Response time of the policy service.
    [[nodiscard]] Duration adviceTime(const std::string &step, std::size_t workerCount) const;
    /// How long the tickets of the policy service are valid.
    [[nodiscard]] Duration adviceValidity(const std::string &step) const;

    [[nodiscard]] bool isLinkCut(const std::string &from, const std::string &to) const
    {
        return m_cutLinks.contains({ from, to });
    }

private:
    /// Settings of the queue of the step, or null if it has none.
    [[nodiscard]] const cell::AdviceSettings *adviceSettings(const std::string &step) const;
    /// Oldest configuration version that a running node applies.
    [[nodiscard]] std::uint64_t oldestConfiguration() const;
    void publishWorker(WorkerSlot &slot);
    /// Whether the worker can renew its entry in the store.
    void setWorkerStorePath(WorkerSlot &slot, bool connected);
    TaskPlan plan(const cell::TaskId &task, std::uint32_t worker);

    Settings m_settings;
    VirtualTime m_time;
    StoreModel m_store;
    QuotaChecker m_quotas;
    GuaranteeChecker m_guarantees;
    std::mt19937 m_random;
    std::uniform_real_distribution<double> m_chance{ 0.0, 1.0 };
    std::vector<std::unique_ptr<NodeSlot>> m_nodes;
    std::vector<std::unique_ptr<WorkerSlot>> m_workers;
    /// Names of the sending and the receiving node.
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    std::map<std::string, JobPlan> m_jobs;
    std::map<cell::TaskId, std::uint32_t> m_startsOfTask;
    std::uint64_t m_version = 0;
    std::uint64_t m_replacedWorkers = 0;
    double m_lateOrderShare = 0;
    double m_lostAnswerShare = 0;
    Duration m_extraDelay{};
    double m_linkShare = 1;
};

} // namespace cowsliprock::standincell
