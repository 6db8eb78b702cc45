#pragma once

#include "fencedwriter.h"
#include "records.h"
#include "workertable.h"

#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cowsliprock::cell {

/// Keeps in the store the list of the workers that may run something, for the owner's successor:
/// it has to hear from each of them, or wait until their leases are over, before it starts what
/// may run there. A worker gets orders only while the stored list says so. Of one that gets none
/// any more the list names the jobs that may still run there, or that ended there without a
/// durable note. If there are none it is taken off, so that a successor does not wait for what has
/// left.
class WorkerRoster
{
public:
    /// \p changed is called when workers may be used that could not be used before.
    WorkerRoster(FencedWriter &writer, Timers &timers, WorkerTable &workers, std::string key,
                 std::function<void()> changed);
    ~WorkerRoster();
    WorkerRoster(const WorkerRoster &) = delete;
    WorkerRoster &operator=(const WorkerRoster &) = delete;

    /// Notes what the former owner stored.
    void restore(const std::string &text);

    /// From now on the list is kept up to date.
    void start();

    /// The worker's state has changed.
    void check(const Worker &worker);

private:
    using States = std::map<std::string, RosterState>;

    [[nodiscard]] static RosterState due(const Worker &worker);
    [[nodiscard]] static RosterEntry entryOf(const Worker &worker, RosterState state);
    void updateLater();
    void update();
    void stored(const States &states);

    FencedWriter &m_writer;
    Timers &m_timers;
    WorkerTable &m_workers;
    std::string m_key;
    std::function<void()> m_changed;
    std::string m_text; ///< As last written or read.
    std::uint64_t m_version = 0;
    bool m_storing = false; ///< The newest list is not known to be durable.
    bool m_started = false;
    bool m_scheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
