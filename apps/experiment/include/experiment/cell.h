#pragma once

#include <experiment/daemonprocess.h>
#include <experiment/faultproxy.h>
#include <experiment/plan.h>
#include <experiment/socketowners.h>

#include <standincell/storemodel.h>
#include <standincell/workermodel.h>
#include <standincellhttp/adviceserver.h>
#include <standincellhttp/storeserver.h>
#include <standincellhttp/workerserver.h>

#include <eventloop/httpclient.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock {
class EventLoop;
}

namespace cowsliprock::experiment {

/// A cell under test: daemon processes and a simulated platform of store, workers and policy
/// service. Connections to daemons, store and workers pass through fault proxies on loopback. All
/// members must be called in the loop's thread.
class Cell
{
public:
    struct Paths
    {
        std::string program;          ///< Executable of the daemon.
        std::filesystem::path folder; ///< For settings files, logs and a copy of the executable.
    };

    /// Behaviour of jobs that the simulated platform needs.
    struct JobBehaviour
    {
        standincell::WorkerModel::Planner planTask;
        /// Response time of the policy service for a step.
        std::function<Duration(const std::string &step)> adviceTime;
    };

    Cell(EventLoop &loop, const Plan &plan, Paths paths, JobBehaviour jobBehaviour,
         standincell::WorkerObserver &observer);
    ~Cell();
    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    /// Starts the platform and all daemons. Daemons that exit are restarted until stopDaemons().
    [[nodiscard]] Result<void> start();

    /// Terminates all daemons with SIGTERM, and with SIGKILL after the grace time. usage() is
    /// complete after that time.
    void stopDaemons();

    [[nodiscard]] std::uint32_t daemons() const noexcept { return m_plan.daemons; }
    [[nodiscard]] std::uint32_t workers() const noexcept { return m_plan.workers; }

    /// Address at which clients reach a daemon.
    [[nodiscard]] const SocketAddress &frontAddress(std::uint32_t daemon) const;

    /// Daemons whose readiness probe succeeds; all daemons if there are none.
    [[nodiscard]] std::vector<std::uint32_t> readyDaemons() const;

    /// The daemon that owns scheduling, as recorded in the store.
    [[nodiscard]] std::optional<std::uint32_t> owner() const;

    // Daemon faults.
    /// Sends a signal to a daemon. SIGTERM is followed by SIGKILL after the grace time.
    void signal(std::uint32_t daemon, int number);

    // Store faults.
    /// Sets the fault of the store as seen by one daemon, or by all if none is given.
    void setStoreFault(std::optional<std::uint32_t> daemon, standincell::StoreFault fault);
    void setStoreDelay(Duration delay);
    void pauseStoreLeases(bool paused) { m_store.pauseLeases(paused); }
    void compactStore() { m_store.compact(); }

    // Worker faults.
    /// Discards the state of a worker and resets its connections, as a restart does.
    void crashWorker(std::uint32_t worker);
    /// The discovery entry of a silent worker is removed after some time, until the worker
    /// recovers.
    void setWorkerFault(std::uint32_t worker, standincell::WorkerFault fault);
    void setWorkerDraining(std::uint32_t worker, bool draining);

    // Connection faults, applied by the proxies.
    void resetLinks();
    /// See FaultProxy::silenceConnections().
    void silenceLinks();
    /// Delays the connections to store and workers.
    void delayLinks(Duration delay);
    /// Drops the bytes that a daemon exchanges with the store in one direction.
    void cutStoreLink(std::uint32_t daemon, Direction direction, bool dropping);

    /// Daemons and workers on the side of a partition without the store.
    struct Group
    {
        std::set<std::uint32_t> daemons;
        std::set<std::uint32_t> workers;
    };
    /// Separates a group from the store and from all other daemons and workers. Clients reach the
    /// daemons on both sides. Has no effect while another partition lasts.
    void partition(const Group &group, Duration duration);

    /// Publishes the configuration under a new version; its content stays the same.
    void changeConfiguration();

    // Counts since start(), summed over daemons or workers.
    [[nodiscard]] std::map<std::string, std::uint64_t> storeCalls() const;
    [[nodiscard]] std::map<std::string, std::uint64_t> workerCalls() const;
    [[nodiscard]] std::uint64_t adviceCalls() const;
    [[nodiscard]] std::uint64_t workerConnections() const;
    [[nodiscard]] std::uint64_t storeBytes() const;
    [[nodiscard]] std::uint64_t workerBytes() const;
    [[nodiscard]] ProcessUsage usage() const;
    /// One line for each exit of a daemon without SIGTERM or SIGKILL, and for each failed restart.
    [[nodiscard]] const std::vector<std::string> &unexpectedExits() const noexcept
    {
        return m_unexpectedExits;
    }

private:
    struct Daemon;
    struct Worker;

    [[nodiscard]] Result<void> startWorker(std::uint32_t number);
    [[nodiscard]] Result<void> startDaemon(std::uint32_t number);
    void writeSettings(const Daemon &daemon) const;
    /// Writes the discovery entry of a worker to the store.
    void publish(Worker &worker);
    /// Holds the connections of daemons on the other side than a server.
    void holdAcrossPartition(FaultProxy &proxy, bool isolated);
    /// True if the client of a connection is a daemon of the isolated group. Null if unknown.
    [[nodiscard]] std::optional<bool> isIsolatedClient(const SocketAddress &client,
                                                       const SocketAddress &proxy) const;
    [[nodiscard]] SocketOwners findSocketOwners() const;
    void healPartition();
    /// Removes the discovery entry of a worker that is still silent or isolated after some time.
    void expireDiscovery(Worker &worker);
    template <typename Action>
    void forEachLink(const Action &action);
    void reapDaemons();
    void probe();
    /// Placement decision of the policy service; the same for each call with these arguments.
    [[nodiscard]] bool allowed(const std::string &step, const std::string &worker) const;
    [[nodiscard]] std::string issueTicket(const std::string &worker) const;
    [[nodiscard]] bool isTicketValid(const Worker &worker, const std::string &step,
                                     const std::string &ticket) const;
    [[nodiscard]] standincell::AdviceServer::Policy policy() const;

    EventLoop &m_loop;
    Plan m_plan;
    Paths m_paths;
    JobBehaviour m_jobBehaviour;
    standincell::WorkerObserver &m_observer;
    standincell::StoreModel m_store;
    HttpClient m_client;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::string> m_unexpectedExits;
    std::optional<Group> m_isolated; ///< Set while a partition lasts.
    SocketOwners m_socketOwners;     ///< Of the connections that were open when it began.
    std::uint64_t m_version = 0;
    bool m_stopping = false;
};

} // namespace cowsliprock::experiment
