#pragma once

#include "fencedwriter.h"
#include "peermessages.h"
#include "prefixwatch.h"
#include "records.h"
#include "scheduler.h"

#include <cell/discovery.h>
#include <cell/ports.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cowsliprock::cell {

/// A shard owned by this daemon: loads the persisted state, then schedules.
class Shard
{
public:
    /// \p lost is called once when the store or a worker reports a newer owner.
    Shard(const Scheduler::Ports &ports, StorePort &store, const PlatformRecords &records,
          const Scheduler::Settings &settings, StoreCondition fence, std::function<void()> lost);
    ~Shard();
    Shard(const Shard &) = delete;
    Shard &operator=(const Shard &) = delete;

    void start();
    void configure(const CellConfiguration &configuration) { m_scheduler.configure(configuration); }

    /// Called when another daemon has stored the cancellation of a job.
    void jobCancelled(const std::string &id) { m_scheduler.jobCancelled(id); }

    /// Called when this or another daemon has stored a job, which the watch may report later.
    [[nodiscard]] AcceptedAnswer jobAccepted(const StoreItem &item);

    /// Calls \p action when the shard can be handed over: no run is being stopped, or the time that
    /// workers take for it has passed, and all state known by then is durable.
    void whenReadyForHandover(std::function<void()> action);

    [[nodiscard]] const Scheduler &scheduler() const noexcept { return m_scheduler; }

    /// True once the persisted state has been loaded.
    [[nodiscard]] bool loaded() const noexcept { return m_loaded; }

private:
    void readStates(const std::string &after);
    void readRoster();
    void jobsListed();
    void retry(void (Shard::*step)());
    void applyJob(const StoreItem &item);
    void applyWorker(const StoreItem &item);
    void removeWorker(const std::string &key);
    void finishLoading();
    void sweepEndRecords(const std::string &after);
    void scheduleSweep(Duration delay, const std::string &after);
    void awaitStops(TimePoint limit, std::function<void()> action);
    void loseOwnership();

    Scheduler::Ports m_ports;
    StorePort &m_store;
    const PlatformRecords &m_records;
    std::uint32_t m_shard;
    std::function<void()> m_lost;
    std::map<std::string, JobProgress>
        m_progress; ///< Read at start-up and consumed when the jobs are read.
    bool m_jobsLoaded = false;
    bool m_loaded = false;
    std::map<std::string, TimePoint>
        m_endRecordsSeen; ///< End records of previous owners, with the time each was first seen.
    Duration m_statusRetention;
    Duration m_stopTimeout;
    FencedWriter m_writer;
    Scheduler m_scheduler;
    PrefixWatch m_jobs;
    PrefixWatch m_workers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
