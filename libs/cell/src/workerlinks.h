#pragma once

#include "workertable.h"

#include <cell/ports.h>

#include <base/eventlog.h>
#include <eventloop/answertimes.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace cowsliprock::cell {

/// Asks each worker for its inventory again and again, extends the leases of what runs there, and
/// acknowledges ends that are durable.
class WorkerLinks
{
public:
    struct Listener
    {
        /// \p asked is when the request was sent.
        std::function<void(Worker &, const Inventory &, TimePoint asked)> inventory;
        /// The worker has begun a new life: nothing of the former one is left. Orders of this
        /// owner may have reached the new life already; \p inventory is that life's.
        std::function<void(Worker &, const Inventory &, TimePoint asked)> newLife;
        /// The worker has not answered twice in a row; it may run on.
        std::function<void(Worker &)> silent;
        /// The worker did not answer until all leases on it were over.
        std::function<void(Worker &)> lapsed;
        /// A worker has seen a token of a newer owner.
        std::function<void()> fenced;
    };

    struct Settings
    {
        std::uint64_t ownershipRevision = 0;
        Duration lease{};        ///< Granted to the tasks of a worker at each contact.
        Duration longestLease{}; ///< No worker grants a longer one, whatever it is asked for.
    };

    WorkerLinks(WorkerPort &port, Timers &timers, EventLog &log, WorkerTable &workers,
                AnswerTimes &answerTimes, const Settings &settings, Listener listener);
    ~WorkerLinks();
    WorkerLinks(const WorkerLinks &) = delete;
    WorkerLinks &operator=(const WorkerLinks &) = delete;

    /// Begins to ask a worker that was added to the table.
    void add(Worker &worker);
    void forget(const std::string &worker);

    /// Asks soon, for example since ends may be acknowledged now or a run was started.
    void poke(const std::string &worker);

    /// End of the lease for an order sent now, on the worker's clock; notes the grant.
    [[nodiscard]] std::chrono::milliseconds grantLease(Worker &worker) const;

    /// Takes over a reading of the worker's clock from the answer to an order. A clock that went
    /// back shows a new life, which is asked for its inventory then.
    void readClock(Worker &worker, std::chrono::milliseconds clock);

    /// An order of unknown fate may give the tasks of a worker a lease on a clock that this owner
    /// does not know: only the longest possible one bounds it.
    void leaseUnknown(Worker &worker) const;

    [[nodiscard]] Duration lease() const noexcept { return m_settings.lease; }

private:
    struct Link
    {
        bool asking = false;
        std::uint32_t failures = 0;
        std::uint32_t lives = 0;
        std::uint64_t timer = 0; ///< Number of the newest timer; older ones are void.
    };

    void schedule(const std::string &id, Duration delay);
    void ask(const std::string &id);
    /// One request for an inventory.
    struct Question
    {
        TimePoint asked{};
        Duration wait{};
        bool overdue = false; ///< Reported as failed; the answer may still come.
    };

    void answered(const std::string &id, const Question &question,
                  const Result<InventoryOutcome> &outcome);
    void answeredLate(const std::string &id, const Question &question,
                      const Result<InventoryOutcome> &outcome);
    void observe(const Question &question);
    void take(Worker &worker, Link &link, const Inventory &inventory, TimePoint asked);
    void contact(Worker &worker, Link &link, const Inventory &inventory);
    void beginLife(Worker &worker, Link &link, const Inventory &inventory, TimePoint asked);
    void failed(Worker &worker, Link &link, const Error &error);
    void refused(Worker &worker, Link &link, const OrderRefused &refusal);
    [[nodiscard]] Duration nextDelay(const Worker &worker) const;
    [[nodiscard]] std::uint64_t tokenOf(const Link &link) const noexcept;

    WorkerPort &m_port;
    Timers &m_timers;
    EventLog &m_log;
    WorkerTable &m_workers;
    AnswerTimes &m_answerTimes;
    Settings m_settings;
    Listener m_listener;
    std::unordered_map<std::string, Link> m_links;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
