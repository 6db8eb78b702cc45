#include "election.h"

#include "keys.h"

#include <base/id.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Candidates claim one after the other, so that the preferred one meets no rival.
constexpr std::chrono::milliseconds rankDelay{ 120 };
/// At the first start of a cell the daemons appear within this time.
constexpr std::chrono::milliseconds firstStartDelay{ 400 };
/// After an outage of the store, presence that has lapsed meanwhile is renewed within this time.
constexpr std::chrono::milliseconds presenceReturnTime{ 2000 };
constexpr std::chrono::milliseconds claimRetryDelay{ 150 };
/// Daemons that start together appear within this time.
constexpr std::chrono::milliseconds strongerReturnTime{ 800 };

} // namespace

Election::Election(StorePort &store, Timers &timers, EventLog &log, Membership &membership,
                   std::uint32_t shard, Listener listener)
    : m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_membership(membership)
    , m_shard(shard)
    , m_listener(std::move(listener))
{ }

Election::~Election()
{
    *m_alive = false;
}

void Election::evaluate()
{
    if (!m_membership.synchronized())
        return;
    const auto view = m_membership.owner(m_shard);
    if (m_ownership) {
        if (view && view->revision > m_ownership->revision)
            loseOwnership("a newer owner is stored");
        return;
    }
    if (m_retired)
        return;
    if (view && mine(view->record) && view->revision > m_lostRevision) {
        becomeOwner(view->record, view->revision);
        return;
    }
    // A record of this daemon that it was deposed from is claimed anew under its revision.
    if (view && !mine(view->record) && ownerAlive(*view)) {
        m_vacantSince.reset();
        return;
    }
    considerClaim(view);
}

bool Election::mine(const OwnerRecord &record) const noexcept
{
    const auto &self = m_membership.self();
    return record.name == self.name && record.incarnation == self.incarnation;
}

bool Election::ownerAlive(const OwnerView &view) const
{
    const auto member = m_membership.members().find(view.record.name);
    return member != m_membership.members().end()
        && member->second.incarnation == view.record.incarnation;
}

Duration Election::claimDelay(const std::optional<OwnerView> &view) const
{
    const auto preference = [this](const MemberRecord &member) {
        return std::pair(member.weight, stableHash(member.name + "/" + std::to_string(m_shard)));
    };
    const auto own = preference(m_membership.self());
    const auto &members = m_membership.members();
    const auto rank = std::count_if(members.begin(), members.end(), [&](const auto &entry) {
        return preference(entry.second) > own;
    });
    Duration delay = rankDelay * rank;
    if (!view)
        return delay + firstStartDelay;
    // After all daemons were lost the weak ones may be back first, and could not carry the cell.
    if (m_membership.self().weight < view->record.weight)
        delay += strongerReturnTime;
    // A daemon that was started again has ended; any other may only have lost its presence.
    const bool startedAgain = members.contains(view->record.name);
    if (view->record.name.empty() || startedAgain || !m_membership.storeReachableSince())
        return delay;
    const Duration reachableFor = m_timers.now() - *m_membership.storeReachableSince();
    return std::max<Duration>(delay, presenceReturnTime - reachableFor);
}

void Election::considerClaim(const std::optional<OwnerView> &view)
{
    const std::uint64_t revision = view ? view->revision : 0;
    const auto now = m_timers.now();
    if (!m_vacantSince || m_vacantRevision != revision) {
        m_vacantSince = now;
        m_vacantRevision = revision;
    }
    if (m_claiming || !m_membership.storeReachableSince())
        return;
    const Duration remaining = claimDelay(view) - (now - *m_vacantSince);
    if (remaining > Duration::zero()) {
        m_timers.after(remaining, [this, alive = m_alive] {
            if (*alive)
                evaluate();
        });
        return;
    }
    claim();
}

void Election::claim()
{
    const auto view = m_membership.owner(m_shard);
    const auto &self = m_membership.self();
    OwnerRecord record{ self.name, self.incarnation, self.address,
                        view ? view->record.generation + 1 : 0, self.weight };
    Transaction transaction;
    transaction.conditions.push_back({ keys::owner(m_shard), view ? view->revision : 0 });
    transaction.writes.push_back({ keys::owner(m_shard), encode(record), 0 });
    m_claiming = true;
    m_log.write(m_timers.now(), "shard.claiming",
                { { "shard", m_shard },
                  { "previousOwner", view ? view->record.name : std::string() },
                  { "previousRevision", view ? view->revision : 0 } });
    m_store.commit(transaction,
                   [this, alive = m_alive, record](const Result<TransactionOutcome> &outcome) {
                       if (*alive)
                           claimed(record, outcome);
                   });
}

void Election::claimed(const OwnerRecord &record, const Result<TransactionOutcome> &outcome)
{
    m_claiming = false;
    if (outcome.has_value()) {
        if (const auto *committed = std::get_if<Committed>(&outcome.value())) {
            m_membership.rememberOwner(m_shard, record, committed->revision);
            becomeOwner(record, committed->revision);
            return;
        }
    }
    // A claim without an answer that took effect all the same is reported by the watch.
    m_timers.after(claimRetryDelay, [this, alive = m_alive] {
        if (*alive)
            evaluate();
    });
}

void Election::becomeOwner(const OwnerRecord &record, std::uint64_t revision)
{
    if (m_ownership)
        return;
    m_vacantSince.reset();
    m_ownership = Ownership{ revision, record.generation };
    m_log.write(
        m_timers.now(), "shard.owned",
        { { "shard", m_shard }, { "revision", revision }, { "generation", record.generation } });
    m_listener.won(*m_ownership);
}

void Election::deposed()
{
    if (m_ownership)
        loseOwnership("fenced by a newer owner");
}

void Election::loseOwnership(const char *reason)
{
    m_log.write(
        m_timers.now(), "shard.lost",
        { { "shard", m_shard }, { "revision", m_ownership->revision }, { "reason", reason } });
    m_lostRevision = m_ownership->revision;
    m_ownership.reset();
    m_listener.lost();
    m_timers.after(claimRetryDelay, [this, alive = m_alive] {
        if (*alive)
            evaluate();
    });
}

void Election::release(std::function<void()> done)
{
    m_retired = true;
    if (!m_ownership) {
        done();
        return;
    }
    Transaction transaction;
    transaction.conditions.push_back({ keys::owner(m_shard), m_ownership->revision });
    const OwnerRecord nobody{ "", 0, "", m_ownership->generation, m_membership.self().weight };
    transaction.writes.push_back({ keys::owner(m_shard), encode(nobody), 0 });
    loseOwnership("handed over");
    m_store.commit(transaction,
                   [done = std::move(done)](const Result<TransactionOutcome> &) { done(); });
}

} // namespace cowsliprock::cell
