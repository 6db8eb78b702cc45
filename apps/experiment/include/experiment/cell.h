#pragma once

#include <experiment/daemonprocess.h>
#include <experiment/faultproxy.h>
#include <experiment/plan.h>

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
#include <string>
#include <vector>

namespace cowsliprock {
class EventLoop;
}

namespace cowsliprock::experiment {

/// Daemons as processes with the platform around them: store, workers and policy service, each
/// behind loopback proxies. All members run in the loop's thread.
class Cell
{
public:
    struct Paths
    {
        std::string program;          ///< Of the daemon.
        std::filesystem::path folder; ///< For settings files and logs.
    };

    /// What the platform has to know of jobs.
    struct Jobs
    {
        standincell::WorkerModel::Planner plan;
        /// Time that the policy service takes for a step.
        std::function<Duration(const std::string &step)> adviceTime;
    };

    Cell(EventLoop &loop, const Plan &plan, Paths paths, Jobs jobs,
         standincell::WorkerObserver &observer);
    ~Cell();
    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    [[nodiscard]] Result<void> start();

    /// Ends all daemons in an orderly way; their usage is complete after the grace time.
    void stopAll();

    [[nodiscard]] std::uint32_t daemons() const noexcept { return m_plan.daemons; }
    [[nodiscard]] std::uint32_t workers() const noexcept { return m_plan.workers; }

    /// Where callers reach a daemon.
    [[nodiscard]] const SocketAddress &front(std::uint32_t daemon) const;

    /// Daemons that take new connections; all if none is ready.
    [[nodiscard]] std::vector<std::uint32_t> rotation() const;

    /// The daemon that schedules, as the store shows it.
    [[nodiscard]] std::optional<std::uint32_t> owner() const;

    // Troubles of daemons.
    void signal(std::uint32_t daemon, int number);

    // Troubles of the store. Without a daemon they hold for all.
    void disturbStore(std::optional<std::uint32_t> daemon, standincell::StoreFault fault);
    void storeDelay(Duration delay);
    void pauseStoreLeases(bool paused) { m_store.pauseLeases(paused); }
    void compactStore() { m_store.compact(); }

    // Troubles of workers.
    void crash(std::uint32_t worker);
    void workerBehaves(std::uint32_t worker, standincell::WorkerFault fault);
    void drain(std::uint32_t worker, bool draining);

    // Troubles of connections.
    void resetLinks();
    void silenceLinks();
    void delayLinks(Duration delay);
    void cutStoreLink(std::uint32_t daemon, Direction direction, bool isCut);

    void changeConfiguration();

    // Counts since the start.
    [[nodiscard]] std::map<std::string, std::uint64_t> storeCalls() const;
    [[nodiscard]] std::map<std::string, std::uint64_t> workerCalls() const;
    [[nodiscard]] std::uint64_t adviceCalls() const;
    [[nodiscard]] std::uint64_t workerConnections() const;
    [[nodiscard]] std::uint64_t storeBytes() const;
    [[nodiscard]] std::uint64_t workerBytes() const;
    [[nodiscard]] ProcessUsage usage() const;
    /// Ends of daemons that nobody asked for.
    [[nodiscard]] const std::vector<std::string> &unexpectedEnds() const noexcept
    {
        return m_unexpectedEnds;
    }

private:
    struct Daemon;
    struct Worker;

    [[nodiscard]] Result<void> startWorker(std::uint32_t number);
    [[nodiscard]] Result<void> startDaemon(std::uint32_t number);
    void writeSettings(const Daemon &daemon) const;
    void publish(Worker &worker);
    template <typename Action>
    void forEachLink(const Action &action);
    void reapDaemons();
    void probe();
    [[nodiscard]] bool allowed(const std::string &step, const std::string &worker) const;
    [[nodiscard]] std::string ticket(const std::string &worker) const;
    [[nodiscard]] bool ticketValid(const Worker &worker, const std::string &step,
                                   const std::string &ticket) const;
    [[nodiscard]] standincell::AdviceServer::Policy policy() const;

    EventLoop &m_loop;
    Plan m_plan;
    Paths m_paths;
    Jobs m_jobs;
    standincell::WorkerObserver &m_observer;
    standincell::StoreModel m_store;
    HttpClient m_client;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::string> m_unexpectedEnds;
    std::uint64_t m_version = 0;
    bool m_stopping = false;
};

} // namespace cowsliprock::experiment
