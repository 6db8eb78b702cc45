#include "workerlinks.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// A worker with tasks answers when one of them ends, or after this time.
constexpr std::chrono::milliseconds busyWait{ 900 };
/// Pause between two questions to a worker without tasks.
constexpr std::chrono::milliseconds idlePause{ 700 };
/// Pause between two questions to a worker whose ends cannot be acknowledged yet.
constexpr std::chrono::milliseconds undurablePause{ 250 };
/// Ends that come close together are gathered into one answer.
constexpr std::chrono::milliseconds gatherPause{ 15 };
constexpr std::chrono::milliseconds retryPause{ 250 };
/// A worker needs this long beside the way, to put its lists together.
constexpr std::chrono::milliseconds inventoryReserve{ 350 };
/// Failures in a row after which a worker gets no new tasks.
constexpr std::uint32_t failuresUntilUnreachable = 2;
/// A worker's clock may be this much slower than ours (its bound is 2%).
constexpr double slowClockFactor = 1.03;
constexpr std::chrono::milliseconds lapseMargin{ 300 };
/// A worker's clock that is this far behind its expected time has started anew.
constexpr std::chrono::milliseconds clockTolerance{ 1000 };
/// Lives of one worker that fit between the tokens of two owners.
constexpr std::uint64_t livesPerOwner = 1024;

} // namespace

WorkerLinks::WorkerLinks(WorkerPort &port, Timers &timers, EventLog &log, WorkerTable &workers,
                         AnswerTimes &answerTimes, const Settings &settings, Listener listener)
    : m_port(port)
    , m_timers(timers)
    , m_log(log)
    , m_workers(workers)
    , m_answerTimes(answerTimes)
    , m_settings(settings)
    , m_listener(std::move(listener))
{ }

WorkerLinks::~WorkerLinks()
{
    *m_alive = false;
}

std::uint64_t WorkerLinks::tokenOf(const Link &link) const noexcept
{
    return m_settings.ownershipRevision * livesPerOwner
        + std::min<std::uint64_t>(link.lives, livesPerOwner - 1);
}

void WorkerLinks::add(Worker &worker)
{
    const auto [entry, added] = m_links.try_emplace(worker.entry.id);
    if (!added)
        return;
    worker.token = tokenOf(entry->second);
    // An earlier owner may have granted a lease just before this one took over.
    leaseUnknown(worker);
    schedule(worker.entry.id, Duration::zero());
}

void WorkerLinks::forget(const std::string &worker)
{
    m_links.erase(worker);
}

void WorkerLinks::poke(const std::string &worker)
{
    if (const auto link = m_links.find(worker); link != m_links.end() && !link->second.asking)
        schedule(worker, gatherPause);
}

std::chrono::milliseconds WorkerLinks::grantLease(Worker &worker) const
{
    const auto now = m_timers.now();
    const auto lapse = now
        + std::chrono::duration_cast<Duration>((now - worker.clockReadAt + m_settings.lease)
                                               * slowClockFactor)
        - (now - worker.clockReadAt) + lapseMargin;
    worker.leaseEnds = std::max(worker.leaseEnds, lapse);
    return worker.clockAt(now)
        + std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.lease);
}

void WorkerLinks::leaseUnknown(Worker &worker) const
{
    const auto longest =
        std::chrono::duration_cast<Duration>(m_settings.longestLease * slowClockFactor);
    worker.leaseEnds = std::max(worker.leaseEnds, m_timers.now() + longest + lapseMargin);
}

void WorkerLinks::readClock(Worker &worker, std::chrono::milliseconds clock)
{
    if (clock <= std::chrono::milliseconds::zero())
        return;
    const auto now = m_timers.now();
    if (worker.clock > std::chrono::milliseconds::zero()
        && clock + clockTolerance < worker.clockAt(now)) {
        m_log.write(now, "worker.clockWentBack",
                    { { "worker", worker.entry.id },
                      { "clock", clock.count() },
                      { "expected", worker.clockAt(now).count() } });
        worker.fenced = false;
        leaseUnknown(worker);
        poke(worker.entry.id);
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
            ask(id);
    });
}

void WorkerLinks::ask(const std::string &id)
{
    const auto entry = m_workers.find(id);
    auto &link = m_links[id];
    if (entry == m_workers.end() || link.asking)
        return;
    Worker &worker = entry->second;
    InventoryRequest request;
    request.fencingToken = worker.token;
    // After a failure the worker may have a new life, whose ends are numbered anew: nothing is
    // acknowledged, and no lease granted, until its answer shows that it is the same life.
    const bool sameLife = worker.fenced && link.failures == 0;
    request.acknowledged = sameLife ? worker.durableEnds : 0;
    if (sameLife) {
        request.leaseUntil = grantLease(worker);
        if (!worker.runs.empty() && worker.reachable)
            request.wait = busyWait;
    }
    request.timeout = std::max<Duration>(m_answerTimes.timeout(), inventoryReserve);
    request.freshConnection = link.failures > 0;
    link.asking = true;
    m_port.inventory(
        targetOf(worker), request,
        [this, alive = m_alive, id, question = Question{ m_timers.now(), request.wait, false }](
            const Result<InventoryOutcome> &outcome) mutable {
            if (!*alive)
                return;
            if (std::exchange(question.overdue, true))
                answeredLate(id, question, outcome);
            else
                answered(id, question, outcome);
        });
}

void WorkerLinks::observe(const Question &question)
{
    // The answer to a waiting question comes with an end, at any time until its wait is over.
    const auto time = m_timers.now() - question.asked;
    if (time > question.wait)
        m_answerTimes.observe(time - question.wait);
}

void WorkerLinks::answeredLate(const std::string &id, const Question &question,
                               const Result<InventoryOutcome> &outcome)
{
    observe(question);
    const auto entry = m_workers.find(id);
    const auto link = m_links.find(id);
    if (entry == m_workers.end() || link == m_links.end() || !outcome.has_value())
        return;
    Worker &worker = entry->second;
    const auto *inventory = std::get_if<Inventory>(&outcome.value());
    // What a former life says is of no use, and that there is a new one the next answer tells.
    if (inventory != nullptr && worker.fenced && inventory->born == worker.born)
        take(worker, link->second, *inventory, question.asked);
}

void WorkerLinks::answered(const std::string &id, const Question &question,
                           const Result<InventoryOutcome> &outcome)
{
    const auto entry = m_workers.find(id);
    const auto found = m_links.find(id);
    if (entry == m_workers.end() || found == m_links.end())
        return;
    Worker &worker = entry->second;
    Link &link = found->second;
    link.asking = false;
    if (!outcome.has_value()) {
        failed(worker, link, outcome.error());
        return;
    }
    if (const auto *refusal = std::get_if<OrderRefused>(&outcome.value())) {
        refused(worker, link, *refusal);
        return;
    }
    observe(question);
    take(worker, link, std::get<Inventory>(outcome.value()), question.asked);
}

void WorkerLinks::take(Worker &worker, Link &link, const Inventory &inventory, TimePoint asked)
{
    if (worker.born != 0 && inventory.born != worker.born) {
        beginLife(worker, link, inventory, asked);
        return;
    }
    const bool outdated = worker.fenced && inventory.clock < worker.inventoryClock;
    contact(worker, link, inventory);
    // Answers on different connections overtake each other: a newer list says all that this one
    // does.
    if (!outdated)
        m_listener.inventory(worker, inventory, asked);
    if (!link.asking)
        schedule(worker.entry.id, nextDelay(worker));
}

void WorkerLinks::contact(Worker &worker, Link &link, const Inventory &inventory)
{
    const auto now = m_timers.now();
    if (!worker.reachable) {
        m_log.write(
            now, "worker.reachable",
            { { "worker", worker.entry.id }, { "born", worker.born }, { "token", worker.token } });
    }
    worker.born = inventory.born;
    worker.lastContact = now;
    worker.reachable = true;
    worker.fenced = true;
    worker.suspect = false;
    worker.accountedFor = true;
    link.failures = 0;
    if (inventory.clock < worker.inventoryClock)
        return;
    worker.inventoryClock = inventory.clock;
    worker.clock = inventory.clock;
    worker.clockReadAt = now;
}

Duration WorkerLinks::nextDelay(const Worker &worker) const
{
    // Ends that are not durable are returned at once: poke() asks when they are. In an outage of
    // the store the worker is asked all the same, for its leases and for what has ended since.
    if (worker.durableEnds != worker.handledEnds)
        return undurablePause;
    return worker.runs.empty() ? Duration(idlePause) : Duration(gatherPause);
}

void WorkerLinks::beginLife(Worker &worker, Link &link, const Inventory &inventory, TimePoint asked)
{
    m_log.write(
        m_timers.now(), "worker.newLife",
        { { "worker", worker.entry.id }, { "born", inventory.born }, { "before", worker.born } });
    ++link.lives;
    worker.accountedFor = true;
    worker.born = inventory.born;
    worker.token = tokenOf(link);
    worker.fenced = false;
    worker.handledEnds = 0;
    worker.jobsOfEnds.clear();
    worker.awaitedEnds = 0;
    worker.durableEnds = 0;
    worker.inventoryClock = {};
    worker.clock = {};
    // Orders that reached the new life before its token was raised carried the former clock.
    worker.leaseEnds = m_timers.now();
    leaseUnknown(worker);
    m_listener.newLife(worker, inventory, asked);
    schedule(worker.entry.id, Duration::zero());
}

void WorkerLinks::failed(Worker &worker, Link &link, const Error &error)
{
    const auto now = m_timers.now();
    ++link.failures;
    worker.suspect = true;
    if (link.failures == failuresUntilUnreachable) {
        worker.reachable = false;
        m_log.write(now, "worker.unreachable",
                    { { "worker", worker.entry.id },
                      { "error", error.text() },
                      { "runs", static_cast<std::uint64_t>(worker.runs.size()) } });
        m_listener.silent(worker);
    }
    if (!worker.reachable && now >= worker.leaseEnds && !std::exchange(worker.accountedFor, true))
        m_log.write(now, "worker.assumedEmpty", { { "worker", worker.entry.id } });
    if (!worker.reachable && now >= worker.leaseEnds)
        m_listener.lapsed(worker);
    // The first failure may be that of a kept connection that has died: ask again at once.
    schedule(worker.entry.id, link.failures == 1 ? Duration::zero() : Duration(retryPause));
}

void WorkerLinks::refused(Worker &worker, Link &link, const OrderRefused &refusal)
{
    switch (refusal.reason) {
    case OrderRefusal::Fenced:
        m_log.write(m_timers.now(), "worker.fenced",
                    { { "worker", worker.entry.id }, { "token", worker.token } });
        schedule(worker.entry.id, retryPause);
        m_listener.fenced();
        return;
    case OrderRefusal::OtherLife:
    case OrderRefusal::OldRun:
    case OrderRefusal::Late:
    case OrderRefusal::NoRoom:
    case OrderRefusal::BadTicket:
    case OrderRefusal::Unhealthy:
    case OrderRefusal::Malformed:
        break;
    }
    failed(worker, link,
           Error{ ErrorKind::Refused, "worker.inventory", worker.entry.address, "refused" });
}

} // namespace cowsliprock::cell
