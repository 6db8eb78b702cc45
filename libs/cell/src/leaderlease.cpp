#include "leaderlease.h"

#include "keys.h"
#include "leasetimes.h"
#include "peermessages.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Promises are requested when the lease ends within this time; two renewals of the presence have
/// not been confirmed then.
constexpr std::chrono::milliseconds promiseLeadTime{ 900 };
/// Promises are renewed when they end within this time, so that a successor can restart meanwhile.
constexpr std::chrono::milliseconds promiseRenewalTime{ 2000 };
constexpr std::chrono::milliseconds checkInterval{ 250 };
constexpr std::chrono::milliseconds promiseTimeout{ 700 };

} // namespace

LeaderLease::LeaderLease(const Ports &ports, const Membership &membership, const Settings &settings,
                         std::function<void()> expired)
    : m_ports(ports)
    , m_membership(membership)
    , m_settings(settings)
    , m_expired(std::move(expired))
    , m_successors(ports.store, membership, settings.shard, settings.ownershipRevision)
    , m_confirmedUntil(settings.claimedAt)
    , m_exclusiveUntil(settings.claimedAt)
{ }

LeaderLease::~LeaderLease()
{
    *m_alive = false;
}

void LeaderLease::start()
{
    check();
}

bool LeaderLease::exclusive()
{
    refresh();
    return m_ports.timers.now() < m_exclusiveUntil;
}

bool LeaderLease::confirmed()
{
    refresh();
    return m_ports.timers.now() < m_confirmedUntil;
}

void LeaderLease::workersFenced()
{
    m_settings.contested = false;
    updateSuccessors();
}

bool LeaderLease::valid()
{
    refresh();
    return m_ports.timers.now() < m_exclusiveUntil + m_settings.gracePeriod;
}

void LeaderLease::refresh()
{
    if (m_verifiedPresence != 0 && m_verifiedPresence == m_membership.presenceNumber())
        m_confirmedUntil = std::max(m_confirmedUntil, m_membership.presentUntil());
    m_exclusiveUntil = std::max(m_exclusiveUntil, m_confirmedUntil);
    if (m_promisedUntil <= m_exclusiveUntil)
        return;
    if (const auto obeyedAt = m_workers.obeyedAt()) {
        const TimePoint obeyedUntil = *obeyedAt + shortened(workerAcceptanceTime);
        m_exclusiveUntil = std::max(m_exclusiveUntil, std::min(m_promisedUntil, obeyedUntil));
    }
}

TimePoint LeaderLease::reservedUntil() const
{
    return std::max(m_confirmedUntil, m_promisedUntil);
}

Duration LeaderLease::leadTime() const
{
    const bool promised = m_promisedUntil > m_confirmedUntil;
    return promised ? promiseRenewalTime : promiseLeadTime;
}

void LeaderLease::scheduleCheck()
{
    const Duration untilPromises = reservedUntil() - leadTime() - m_ports.timers.now();
    m_ports.timers.after(std::max<Duration>(untilPromises, checkInterval), [this, alive = m_alive] {
        if (*alive)
            check();
    });
}

void LeaderLease::check()
{
    if (!valid()) {
        expire("the store and the successors do not confirm it");
        return;
    }
    logChange();
    updateSuccessors();
    verifyOwnership();
    if (reservedUntil() - m_ports.timers.now() <= leadTime())
        requestPromises();
    scheduleCheck();
}

void LeaderLease::logChange()
{
    const bool unconfirmed = !exclusive();
    if (std::exchange(m_unconfirmedLogged, unconfirmed) == unconfirmed)
        return;
    m_ports.log.write(
        m_ports.timers.now(), unconfirmed ? "shard.unconfirmed" : "shard.confirmed",
        { { "shard", m_settings.shard }, { "revision", m_settings.ownershipRevision } });
}

void LeaderLease::updateSuccessors()
{
    // A daemon that is added to the list has promised nothing and may claim the shard at once.
    if (!m_settings.contested && m_ports.timers.now() >= m_promisedUntil)
        m_successors.update();
}

void LeaderLease::verifyOwnership()
{
    const auto presence = m_membership.presenceNumber();
    if (presence == 0 || presence == m_verifiedPresence || std::exchange(m_verifying, true))
        return;
    m_ports.store.read(
        keys::owner(m_settings.shard),
        [this, alive = m_alive, presence](const Result<std::optional<StoreItem>> &item) {
            if (*alive)
                handleOwnerRecord(presence, item);
        });
}

void LeaderLease::handleOwnerRecord(std::uint64_t presence,
                                    const Result<std::optional<StoreItem>> &item)
{
    m_verifying = false;
    if (!item.has_value())
        return;
    const auto revision = item.value() ? item.value()->revision : 0;
    if (revision > m_settings.ownershipRevision) {
        expire("the store shows a newer owner");
        return;
    }
    // Nobody has claimed the shard before this record was read; as long as the presence record
    // remains, nobody can.
    if (revision == m_settings.ownershipRevision)
        m_verifiedPresence = presence;
    logChange();
}

void LeaderLease::requestPromises()
{
    const auto successors = m_successors.possibleSuccessors();
    if (m_round || !successors || successors->empty())
        return;
    const auto now = m_ports.timers.now();
    m_round =
        std::make_shared<PromiseRound>(PromiseRound{ now, *successors, successors->size(), false });
    const auto body = encode(PromiseRequest{ m_settings.ownershipRevision });
    const auto path = "/peer/promise/" + std::to_string(m_settings.shard);
    for (const auto &successor : *successors) {
        m_ports.peers.call(
            { successor.address, "POST", path, body, promiseTimeout },
            [this, alive = m_alive, round = m_round](const Result<PeerAnswer> &answer) {
                if (*alive)
                    handlePromise(*round, countsAsPromise(answer));
            });
    }
}

bool LeaderLease::countsAsPromise(const Result<PeerAnswer> &answer)
{
    if (!answer.has_value() || answer.value().status != statusOk)
        return false;
    const auto promise = decodePromiseAnswer(answer.value().body);
    if (!promise)
        return false;
    // An earlier process of the successor may have claimed the shard after this lease was last
    // exclusive.
    refresh();
    return m_ports.timers.now() - shortened(promise->runningFor) <= m_exclusiveUntil;
}

void LeaderLease::handlePromise(PromiseRound &round, bool granted)
{
    round.refused = round.refused || !granted;
    if (--round.pending > 0)
        return;
    const auto finished = std::exchange(m_round, nullptr);
    const auto successors = m_successors.possibleSuccessors();
    const bool complete = successors
        && std::all_of(successors->begin(), successors->end(), [&](const Successor &each) {
                              return std::find(finished->asked.begin(), finished->asked.end(), each)
                                  != finished->asked.end();
                          });
    if (finished->refused || !complete)
        return;
    const auto extended = std::min<TimePoint>(finished->sentAt + shortened(promiseTime),
                                              m_confirmedUntil + shortened(maxOwnershipExtension));
    m_promisedUntil = std::max(m_promisedUntil, extended);
    logChange();
}

void LeaderLease::expire(const char *reason)
{
    if (!m_expired)
        return;
    m_ports.log.write(m_ports.timers.now(), "shard.leaseExpired",
                      { { "shard", m_settings.shard },
                        { "revision", m_settings.ownershipRevision },
                        { "reason", reason } });
    // Deferred: the callback destroys this object.
    m_ports.timers.after(Duration::zero(),
                         [alive = m_alive, expired = std::exchange(m_expired, {})] {
                             if (*alive)
                                 expired();
                         });
}

} // namespace cowsliprock::cell
