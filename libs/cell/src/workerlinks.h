#pragma once

#include "leaderlease.h"
#include "workertable.h"

#include <cell/ports.h>

#include <base/eventlog.h>
#include <eventloop/responsetimes.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace cowsliprock::cell {

/// Polls each worker for its inventory, renews the leases of its runs, and acknowledges durable
/// ends.
class WorkerLinks
{
public:
    struct Listener
    {
        /// \p requestedAt is the time at which the request was sent.
        std::function<void(Worker &, const Inventory &, TimePoint requestedAt)> inventory;
        /// The worker has a new incarnation and has lost all runs of the former one. Orders of this
        /// owner may already have reached the new incarnation, to which \p inventory belongs.
        std::function<void(Worker &, const Inventory &, TimePoint requestedAt)> newIncarnation;
        /// The worker failed to answer twice in a row; its runs may continue.
        std::function<void(Worker &)> unreachable;
        /// All leases on the worker expired without an answer from it, and no other owner can have
        /// renewed them.
        std::function<void(Worker &)> leasesExpired;
        /// Another worker answers at its address: it has ended, with all its runs.
        std::function<void(Worker &)> replaced;
        /// A worker has seen the fencing token of a newer owner.
        std::function<void()> fenced;
    };

    struct Settings
    {
        std::uint64_t ownershipRevision = 0;
        Duration lease{};       ///< Lease granted to the tasks of a worker at each contact.
        Duration maxLease{};    ///< Upper bound that workers enforce on any lease.
        Duration stopTimeout{}; ///< Maximum time that a worker takes to stop a run.
        /// Time for which an earlier owner may still renew leases on workers that have not accepted
        /// a token of this one.
        Duration formerOwnerTime{};
    };

    WorkerLinks(WorkerPort &port, Timers &timers, EventLog &log, WorkerTable &workers,
                ResponseTimes &answerTimes, LeaderLease &lease, const Settings &settings,
                Listener listener);
    ~WorkerLinks();
    WorkerLinks(const WorkerLinks &) = delete;
    WorkerLinks &operator=(const WorkerLinks &) = delete;

    /// Starts polling a worker that was added to the table.
    void add(Worker &worker);
    void forget(const std::string &worker);

    /// Polls the worker soon, for example after a run was started or ends became durable.
    void pollSoon(const std::string &worker);

    /// Returns the end of the lease for an order sent now, on the worker's clock, and records the
    /// grant.
    [[nodiscard]] std::chrono::milliseconds grantLease(Worker &worker) const;

    /// Records a reading of the worker's clock from the answer to an order. A clock that went back
    /// indicates a new incarnation, which is then polled for its inventory.
    void readClock(Worker &worker, std::chrono::milliseconds clock);

    /// Assumes the longest possible lease on the worker. Needed for orders with an unknown outcome,
    /// which may have granted a lease on a clock that this owner does not know.
    void assumeLongestLease(Worker &worker) const;

    /// Called when a quorum of the workers has accepted a token of this owner: an earlier owner can
    /// renew leases on the others only for the time that its last contacts count.
    void formerOwnerFenced();

    [[nodiscard]] Duration lease() const noexcept { return m_settings.lease; }

private:
    struct Link
    {
        bool requestInFlight = false;
        std::uint32_t failures = 0;
        std::uint32_t incarnations = 0;
        std::uint64_t timer = 0; ///< Number of the newest timer; older ones are ignored.
    };

    /// When the longest possible lease that is granted now ends.
    [[nodiscard]] TimePoint longestLeaseEnd() const;
    void schedule(const std::string &id, Duration delay);
    void poll(const std::string &id);
    /// A request for an inventory.
    struct InventoryQuery
    {
        TimePoint requestedAt{};
        Duration wait{};
        bool overdue = false; ///< A first outcome was reported; a late answer may follow.
    };

    void handleReply(const std::string &id, const InventoryQuery &query,
                     const Result<InventoryOutcome> &outcome);
    void handleLateReply(const std::string &id, const InventoryQuery &query,
                         const Result<InventoryOutcome> &outcome);
    void observe(const InventoryQuery &query);
    void processInventory(Worker &worker, Link &link, const Inventory &inventory,
                          TimePoint requestedAt);
    void recordContact(Worker &worker, Link &link, const Inventory &inventory);
    void beginIncarnation(Worker &worker, Link &link, const Inventory &inventory,
                          TimePoint requestedAt);
    void handleFailure(Worker &worker, Link &link, const Error &error);
    void handleReplacement(Worker &worker);
    void handleRefusal(Worker &worker, Link &link, const OrderRefused &refusal);
    /// Time until all runs that an earlier owner was stopping on the worker have ended.
    [[nodiscard]] Duration timeUntilReconciled(const Worker &worker) const;
    [[nodiscard]] Duration nextDelay(const Worker &worker) const;
    [[nodiscard]] std::uint64_t tokenOf(const Link &link) const noexcept;

    WorkerPort &m_port;
    Timers &m_timers;
    EventLog &m_log;
    WorkerTable &m_workers;
    ResponseTimes &m_answerTimes;
    LeaderLease &m_leaderLease;
    Settings m_settings;
    Listener m_listener;
    std::unordered_map<std::string, Link> m_links;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
