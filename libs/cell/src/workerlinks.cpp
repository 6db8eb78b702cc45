#include "workerlinks.h"

#include "leasetimes.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Long poll of a worker with tasks: it answers when one of them ends, or after this time.
constexpr std::chrono::milliseconds longPollWait{ 900 };
/// Interval between polls of a worker without tasks.
constexpr std::chrono::milliseconds idlePollInterval{ 700 };
/// Interval between polls of a worker whose ends cannot be acknowledged yet.
constexpr std::chrono::milliseconds unsavedEndsPollInterval{ 250 };
/// Ends within this delay are coalesced into one answer.
constexpr std::chrono::milliseconds coalesceDelay{ 15 };
constexpr std::chrono::milliseconds retryInterval{ 250 };
/// Time for a worker to assemble an inventory, without transit.
constexpr std::chrono::milliseconds inventoryAllowance{ 350 };
/// Consecutive failures after which a worker is considered unreachable.
constexpr std::uint32_t failuresUntilUnreachable = 2;
/// A worker's clock may be slower than the local one by this factor (specified bound: 2%).
constexpr double slowClockFactor = 1.03;
constexpr std::chrono::milliseconds leaseExpiryMargin{ 300 };
/// A worker's clock that is further behind its expected time has been restarted.
constexpr std::chrono::milliseconds clockTolerance{ 1000 };
/// Size of the range of fencing tokens that each owner has per worker, one per incarnation.
constexpr std::uint64_t incarnationsPerOwner = 1024;

} // namespace

WorkerLinks::WorkerLinks(WorkerPort &port, Timers &timers, EventLog &log, WorkerTable &workers,
                         ResponseTimes &answerTimes, LeaderLease &lease, const Settings &settings,
                         Listener listener)
    : m_port(port)
    , m_timers(timers)
    , m_log(log)
    , m_workers(workers)
    , m_answerTimes(answerTimes)
    , m_leaderLease(lease)
    , m_settings(settings)
    , m_listener(std::move(listener))
{ }

WorkerLinks::~WorkerLinks()
{
    *m_alive = false;
}

std::uint64_t WorkerLinks::tokenOf(const Link &link) const noexcept
{
    return m_settings.ownershipRevision * incarnationsPerOwner
        + std::min<std::uint64_t>(link.incarnations, incarnationsPerOwner - 1);
}

void WorkerLinks::add(Worker &worker)
{
    const auto [entry, added] = m_links.try_emplace(worker.entry.id);
    if (!added)
        return;
    worker.token = tokenOf(entry->second);
    // An earlier owner may have granted a lease just before the take-over, or may still grant one.
    assumeLongestLease(worker);
    worker.leaseEnds += m_settings.formerOwnerTime;
    schedule(worker.entry.id, Duration::zero());
}

void WorkerLinks::formerOwnerFenced()
{
    m_settings.formerOwnerTime = {};
    for (auto &[id, worker] : m_workers) {
        if (worker.hasObeyed())
            continue;
        worker.leaseEnds = longestLeaseEnd() + workerAcceptanceTime;
    }
}

void WorkerLinks::forget(const std::string &worker)
{
    m_links.erase(worker);
}

void WorkerLinks::pollSoon(const std::string &worker)
{
    if (const auto link = m_links.find(worker);
        link != m_links.end() && !link->second.requestInFlight)
        schedule(worker, coalesceDelay);
}

std::chrono::milliseconds WorkerLinks::grantLease(Worker &worker) const
{
    const auto now = m_timers.now();
    const auto lapse = now
        + std::chrono::duration_cast<Duration>((now - worker.clockReadAt + m_settings.lease)
                                               * slowClockFactor)
        - (now - worker.clockReadAt) + leaseExpiryMargin;
    worker.leaseEnds = std::max(worker.leaseEnds, lapse);
    return worker.clockAt(now)
        + std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.lease);
}

TimePoint WorkerLinks::longestLeaseEnd() const
{
    const auto longest =
        std::chrono::duration_cast<Duration>(m_settings.maxLease * slowClockFactor);
    return m_timers.now() + longest + leaseExpiryMargin;
}

void WorkerLinks::assumeLongestLease(Worker &worker) const
{
    worker.leaseEnds = std::max(worker.leaseEnds, longestLeaseEnd());
}

void WorkerLinks::readClock(Worker &worker, std::chrono::milliseconds clock)
{
    if (clock <= std::chrono::milliseconds::zero())
        return;
    const auto now = m_timers.now();
    worker.refusedSince.reset();
    if (worker.clock > std::chrono::milliseconds::zero()
        && clock + clockTolerance < worker.clockAt(now)) {
        m_log.write(now, "worker.clockWentBack",
                    { { "worker", worker.entry.id },
                      { "clock", clock.count() },
                      { "expected", worker.clockAt(now).count() } });
        worker.fenced = false;
        assumeLongestLease(worker);
        pollSoon(worker.entry.id);
        return;
    }
    worker.clock = clock;
    worker.clockReadAt = now;
}

void WorkerLinks::schedule(const std::string &id, Duration delay)
{
    const auto number = ++m_links[id].timer;
    m_timers.after(delay, [this, alive = m_alive, id, number] {
        if (!*alive)
            return;
        const auto link = m_links.find(id);
        if (link != m_links.end() && link->second.timer == number)
            poll(id);
    });
}

void WorkerLinks::poll(const std::string &id)
{
    const auto entry = m_workers.find(id);
    auto &link = m_links[id];
    if (entry == m_workers.end() || link.requestInFlight)
        return;
    Worker &worker = entry->second;
    InventoryRequest request;
    request.fencingToken = worker.token;
    // After a failure the worker may have a new incarnation, which numbers its ends from the start.
    // Nothing is acknowledged and no lease is granted until its answer shows the same incarnation.
    // A restart between two polls causes no failure: the port sees to it that the new incarnation
    // does not receive an acknowledgement of the former one's ends. A lease does no harm there.
    const bool sameLife = worker.fenced && link.failures == 0;
    request.acknowledged = sameLife ? worker.durableEnds : 0;
    if (sameLife) {
        request.incarnation = worker.born;
        request.leaseUntil = grantLease(worker);
        if (!worker.runs.empty() && worker.reachable)
            request.wait = worker.reconciled ? longPollWait : timeUntilReconciled(worker);
    }
    request.timeout = std::max<Duration>(m_answerTimes.timeout(), inventoryAllowance);
    request.freshConnection = link.failures > 0;
    link.requestInFlight = true;
    // Ports copy the callback, so its copies share the state.
    const auto query =
        std::make_shared<InventoryQuery>(InventoryQuery{ m_timers.now(), request.wait, false });
    m_port.inventory(targetOf(worker), request,
                     [this, alive = m_alive, id, query](const Result<InventoryOutcome> &outcome) {
                         if (!*alive)
                             return;
                         if (std::exchange(query->overdue, true))
                             handleLateReply(id, *query, outcome);
                         else
                             handleReply(id, *query, outcome);
                     });
}

void WorkerLinks::observe(const InventoryQuery &query)
{
    // A long poll may be answered at any time within its wait, so only the time beyond counts.
    const auto time = m_timers.now() - query.requestedAt;
    if (time > query.wait)
        m_answerTimes.observe(time - query.wait);
}

void WorkerLinks::handleLateReply(const std::string &id, const InventoryQuery &query,
                                  const Result<InventoryOutcome> &outcome)
{
    observe(query);
    const auto entry = m_workers.find(id);
    const auto link = m_links.find(id);
    if (entry == m_workers.end() || link == m_links.end() || !outcome.has_value())
        return;
    Worker &worker = entry->second;
    const auto *inventory = std::get_if<Inventory>(&outcome.value());
    // Answers of a former incarnation are ignored; a new one is detected by the next answer.
    if (inventory != nullptr && worker.fenced && inventory->born == worker.born)
        processInventory(worker, link->second, *inventory, query.requestedAt);
}

void WorkerLinks::handleReply(const std::string &id, const InventoryQuery &query,
                              const Result<InventoryOutcome> &outcome)
{
    const auto entry = m_workers.find(id);
    const auto found = m_links.find(id);
    if (entry == m_workers.end() || found == m_links.end())
        return;
    Worker &worker = entry->second;
    Link &link = found->second;
    link.requestInFlight = false;
    if (!outcome.has_value()) {
        handleFailure(worker, link, outcome.error());
        return;
    }
    if (const auto *refusal = std::get_if<OrderRefused>(&outcome.value())) {
        handleRefusal(worker, link, *refusal);
        return;
    }
    observe(query);
    processInventory(worker, link, std::get<Inventory>(outcome.value()), query.requestedAt);
}

void WorkerLinks::processInventory(Worker &worker, Link &link, const Inventory &inventory,
                                   TimePoint requestedAt)
{
    const bool confirmed = m_leaderLease.confirmed();
    if (worker.born != 0 && inventory.born != worker.born) {
        if (confirmed) {
            beginIncarnation(worker, link, inventory, requestedAt);
        } else {
            // Another owner may know the new incarnation and have started the lost tasks again.
            worker.fenced = false;
            worker.suspect = true;
            schedule(worker.entry.id, retryInterval);
        }
        return;
    }
    const bool outdated = worker.fenced && inventory.clock < worker.inventoryClock;
    recordContact(worker, link, inventory);
    m_leaderLease.workers().accepted(worker.entry.id, worker.born, requestedAt, confirmed);
    // Answers on different connections may be reordered; a newer inventory supersedes this one.
    if (!outdated)
        m_listener.inventory(worker, inventory, requestedAt);
    if (!link.requestInFlight)
        schedule(worker.entry.id, nextDelay(worker));
}

void WorkerLinks::recordContact(Worker &worker, Link &link, const Inventory &inventory)
{
    const auto now = m_timers.now();
    if (!worker.reachable) {
        m_log.write(
            now, "worker.reachable",
            { { "worker", worker.entry.id }, { "born", worker.born }, { "token", worker.token } });
    }
    worker.born = inventory.born;
    worker.lastContact = now;
    worker.refusedSince.reset();
    worker.reachable = true;
    worker.fenced = true;
    worker.suspect = false;
    if (!worker.hasObeyed()) {
        worker.firstInventoryClock = inventory.clock;
        // From now on only this owner can renew its leases.
        worker.leaseEnds = std::min(worker.leaseEnds, longestLeaseEnd());
    }
    // Runs of an earlier owner may be among the ends that are not listed yet, or are being stopped,
    // which need not be listed until they have ended.
    if (!inventory.moreFinished
        && inventory.clock >= worker.firstInventoryClock + m_settings.stopTimeout) {
        worker.reconciled = true;
    }
    link.failures = 0;
    if (inventory.clock < worker.inventoryClock)
        return;
    worker.inventoryClock = inventory.clock;
    worker.clock = inventory.clock;
    worker.clockReadAt = now;
}

Duration WorkerLinks::timeUntilReconciled(const Worker &worker) const
{
    const auto end = worker.firstInventoryClock + m_settings.stopTimeout;
    return std::clamp<Duration>(end - worker.clockAt(m_timers.now()), coalesceDelay, longPollWait);
}

Duration WorkerLinks::nextDelay(const Worker &worker) const
{
    // Ends that are not durable would end a long poll at once; pollSoon() polls as soon as they are
    // durable. During an outage of the store the worker is still polled, to renew its leases and to
    // learn of further ends.
    if (worker.durableEnds != worker.processedEnds)
        return unsavedEndsPollInterval;
    if (worker.usedByPreviousOwner && !worker.reconciled && worker.runs.empty())
        return timeUntilReconciled(worker);
    return worker.runs.empty() ? Duration(idlePollInterval) : Duration(coalesceDelay);
}

void WorkerLinks::beginIncarnation(Worker &worker, Link &link, const Inventory &inventory,
                                   TimePoint requestedAt)
{
    m_log.write(
        m_timers.now(), "worker.newLife",
        { { "worker", worker.entry.id }, { "born", inventory.born }, { "before", worker.born } });
    ++link.incarnations;
    worker.health = {};
    worker.reconciled = true;
    worker.born = inventory.born;
    worker.token = tokenOf(link);
    worker.fenced = false;
    worker.processedEnds = 0;
    worker.jobsWithUnsavedEnds.clear();
    worker.awaitedEnds = 0;
    worker.durableEnds = 0;
    worker.inventoryClock = {};
    worker.clock = {};
    // Orders that reached the new incarnation before its token was raised used the former clock.
    worker.leaseEnds = m_timers.now();
    assumeLongestLease(worker);
    m_listener.newIncarnation(worker, inventory, requestedAt);
    schedule(worker.entry.id, Duration::zero());
}

void WorkerLinks::handleFailure(Worker &worker, Link &link, const Error &error)
{
    const auto now = m_timers.now();
    ++link.failures;
    worker.suspect = true;
    if (!mayHaveTakenEffect(error) && !worker.refusedSince)
        worker.refusedSince = now;
    if (link.failures == failuresUntilUnreachable) {
        worker.reachable = false;
        m_log.write(now, "worker.unreachable",
                    { { "worker", worker.entry.id },
                      { "error", error.text() },
                      { "runs", static_cast<std::uint64_t>(worker.runs.size()) } });
        m_listener.unreachable(worker);
    }
    // A newer owner may have renewed the leases.
    if (!worker.reachable && now >= worker.leaseEnds && m_leaderLease.confirmed()) {
        if (!std::exchange(worker.reconciled, true))
            m_log.write(now, "worker.assumedEmpty", { { "worker", worker.entry.id } });
        m_listener.leasesExpired(worker);
    }
    // The first failure may be due to a stale persistent connection: poll again at once.
    schedule(worker.entry.id, link.failures == 1 ? Duration::zero() : Duration(retryInterval));
}

void WorkerLinks::handleReplacement(Worker &worker)
{
    if (!worker.runs.empty() || !worker.reconciled)
        m_log.write(m_timers.now(), "worker.replaced",
                    { { "worker", worker.entry.id },
                      { "address", worker.entry.address },
                      { "runs", static_cast<std::uint64_t>(worker.runs.size()) } });
    worker.reconciled = true;
    m_listener.replaced(worker);
}

void WorkerLinks::handleRefusal(Worker &worker, Link &link, const OrderRefused &refusal)
{
    switch (refusal.reason) {
    case OrderRefusal::Fenced:
        m_log.write(m_timers.now(), "worker.fenced",
                    { { "worker", worker.entry.id }, { "token", worker.token } });
        schedule(worker.entry.id, retryInterval);
        m_listener.fenced();
        return;
    case OrderRefusal::OtherLife:
        // Another owner may have noticed it, too, and have started the lost tasks again.
        if (m_leaderLease.confirmed())
            handleReplacement(worker);
        break;
    case OrderRefusal::OldRun:
    case OrderRefusal::Late:
    case OrderRefusal::NoRoom:
    case OrderRefusal::BadTicket:
    case OrderRefusal::Unhealthy:
    case OrderRefusal::Malformed:
        break;
    }
    handleFailure(worker, link,
                  Error{ ErrorKind::Refused, "worker.inventory", worker.entry.address, "refused" });
}

} // namespace cowsliprock::cell
