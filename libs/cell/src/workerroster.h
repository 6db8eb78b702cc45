#pragma once

#include "fencedwriter.h"
#include "records.h"
#include "workerquorum.h"
#include "workertable.h"

#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Maintains in the store the roster of workers that may run tasks, for the successor of this
/// owner. The successor has to hear from each of them, or wait until their leases have expired,
/// before it starts tasks that may be running there. A worker receives orders only while the stored
/// roster lists it as open. For a worker that no longer receives orders, the roster names the jobs
/// that may still run there or whose ends are not durable yet. Workers without such jobs are
/// removed, so that a successor does not wait for workers that have left.
class WorkerRoster
{
public:
    /// Calls \p changed after a roster was stored, when further workers may have become usable.
    WorkerRoster(FencedWriter &writer, Timers &timers, WorkerTable &workers, WorkerQuorum &quorum,
                 std::string key, std::function<void()> changed);
    ~WorkerRoster();
    WorkerRoster(const WorkerRoster &) = delete;
    WorkerRoster &operator=(const WorkerRoster &) = delete;

    /// Sets the roster stored by the previous owner, as text and as decoded from it.
    void restore(const std::string &text, const std::vector<RosterEntry> &entries);

    /// Starts to keep the stored roster up to date.
    void start();

    /// Schedules an update if the roster state of the worker has changed.
    void updateIfNeeded(const Worker &worker);

private:
    using States = std::map<std::string, RosterState>;

    [[nodiscard]] static RosterState requiredState(const Worker &worker);
    [[nodiscard]] static RosterEntry entryOf(const Worker &worker, RosterState state);
    void scheduleUpdate();
    void update();
    void handleStored(const States &states);

    FencedWriter &m_writer;
    Timers &m_timers;
    WorkerTable &m_workers;
    WorkerQuorum &m_quorum;
    std::string m_key;
    std::function<void()> m_changed;
    std::string m_text; ///< Text as last written or read.
    std::uint64_t m_version = 0;
    bool m_storing = false; ///< The newest roster is not yet known to be durable.
    bool m_started = false;
    bool m_scheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
