#include "election.h"

#include "keys.h"
#include "leasetimes.h"

#include <base/id.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Delay per rank: candidates claim one after the other, so that the preferred one meets no
/// contention.
constexpr std::chrono::milliseconds rankDelay{ 120 };
/// Time within which all daemons are expected to appear when a cell starts for the first time.
constexpr std::chrono::milliseconds initialClaimDelay{ 400 };
/// Time within which presence records that expired during a store outage are renewed.
constexpr std::chrono::milliseconds presenceRenewalTime{ 2000 };
constexpr std::chrono::milliseconds claimRetryDelay{ 150 };
/// Extra delay of a candidate with a smaller CPU share than the previous owner; daemons that are
/// started together appear within this time.
constexpr std::chrono::milliseconds smallerShareDelay{ 800 };

/// Time for which the daemons that the owner has not named leave the claim to its successors, whose
/// promises end within it.
constexpr std::chrono::milliseconds successorPrecedence{ promiseTime + std::chrono::seconds(1) };

/// A claim without a response may be executed within this time.
constexpr std::chrono::seconds maxClaimDelay{ 30 };

bool contains(const std::vector<Successor> &successors, const MemberRecord &member)
{
    return std::find(successors.begin(), successors.end(), Successor{ member.name, member.address })
        != successors.end();
}

} // namespace

Election::Election(StorePort &store, Timers &timers, EventLog &log, Membership &membership,
                   std::uint32_t shard, Listener listener)
    : m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_membership(membership)
    , m_shard(shard)
    , m_listener(std::move(listener))
    , m_startedAt(timers.now())
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
            loseOwnership("a newer owner is recorded in the store");
        return;
    }
    if (m_withdrawn)
        return;
    if (view && isSelf(view->record) && view->revision > m_lostRevision) {
        becomeOwner(view->record, view->revision);
        return;
    }
    // If this daemon was deposed and the record still names it, it claims the shard again, on
    // condition of that record's revision.
    if (view && !isSelf(view->record) && isOwnerAlive(*view)) {
        m_vacantSince.reset();
        return;
    }
    scheduleClaim(view);
}

bool Election::isSelf(const OwnerRecord &record) const noexcept
{
    const auto &self = m_membership.self();
    return record.name == self.name && record.incarnation == self.incarnation;
}

bool Election::isOwnerAlive(const OwnerView &view) const
{
    const auto member = m_membership.members().find(view.record.name);
    return member != m_membership.members().end()
        && member->second.incarnation == view.record.incarnation;
}

bool Election::mayHaveOwner(const OwnerView &view) const
{
    // A new incarnation under its name shows that the owner has ended.
    return !view.record.name.empty() && !isSelf(view.record)
        && !m_membership.members().contains(view.record.name);
}

std::optional<std::vector<Successor>> Election::storedList(const OwnerView &view) const
{
    const auto list = m_membership.successors(m_shard);
    if (!list || list->record.ownershipRevision != view.revision)
        return std::nullopt;
    return list->record.successors;
}

std::vector<Successor> Election::successorsOf(const OwnerView &view) const
{
    return storedList(view).value_or(std::vector<Successor>());
}

bool Election::isContested(const std::optional<OwnerView> &view) const
{
    if (!view)
        return false;
    const auto list = storedList(*view);
    // An owner stores its list once it has fenced the workers.
    if (!list)
        return view->record.contested;
    return mayHaveOwner(*view) && !list->empty() && !contains(*list, m_membership.self());
}

TimePoint Election::promisesEnd(const std::optional<OwnerView> &view) const
{
    if (!view || !mayHaveOwner(*view))
        return {};
    const auto successors = successorsOf(*view);
    if (successors.empty())
        return {};
    const TimePoint own = m_promisedRevision == view->revision ? m_promisedUntil : TimePoint();
    // The previous incarnation of this daemon may have made a promise.
    if (contains(successors, m_membership.self()))
        return std::max<TimePoint>(own, m_startedAt + promiseTime);
    return std::max<TimePoint>(own, *m_vacantSince + successorPrecedence);
}

std::ptrdiff_t Election::rank(const std::optional<OwnerView> &view) const
{
    const auto preference = [this](const MemberRecord &member) {
        return std::pair(member.weight, stableHash(member.name + "/" + std::to_string(m_shard)));
    };
    const auto own = preference(m_membership.self());
    auto successors = view && mayHaveOwner(*view) ? successorsOf(*view) : std::vector<Successor>();
    if (!contains(successors, m_membership.self()))
        successors.clear();
    const auto &members = m_membership.members();
    return std::count_if(members.begin(), members.end(), [&](const auto &entry) {
        const bool eligible = successors.empty() || contains(successors, entry.second);
        return eligible && preference(entry.second) > own;
    });
}

Duration Election::claimDelay(const std::optional<OwnerView> &view) const
{
    Duration delay = rankDelay * rank(view);
    if (!view)
        return delay + initialClaimDelay;
    // After all daemons were lost, those with a small CPU share may return first, and could not
    // handle the load of the cell.
    if (m_membership.self().weight < view->record.weight)
        delay += smallerShareDelay;
    // The owner's previous incarnation is known to be gone if the daemon has restarted; otherwise
    // the owner may only have lost its presence record.
    if (!mayHaveOwner(*view) || !m_membership.storeReachableSince())
        return delay;
    const Duration reachableFor = m_timers.now() - *m_membership.storeReachableSince();
    return std::max<Duration>(delay, presenceRenewalTime - reachableFor);
}

void Election::scheduleClaim(const std::optional<OwnerView> &view)
{
    const std::uint64_t revision = view ? view->revision : 0;
    const auto now = m_timers.now();
    if (!m_vacantSince || m_vacantRevision != revision) {
        m_vacantSince = now;
        m_vacantRevision = revision;
    }
    if (m_claiming || !m_membership.storeReachableSince())
        return;
    const auto due = std::max(*m_vacantSince + claimDelay(view), promisesEnd(view));
    const Duration remaining = due - now;
    if (remaining > Duration::zero()) {
        m_timers.after(remaining, [this, alive = m_alive] {
            if (*alive)
                evaluate();
        });
        return;
    }
    claim();
}

bool Election::isClaimUnresolved(std::uint64_t replacedRevision) const
{
    return m_unresolvedClaim == replacedRevision && m_timers.now() < m_unresolvedUntil;
}

void Election::claim()
{
    const auto view = m_membership.owner(m_shard);
    const auto &self = m_membership.self();
    OwnerRecord record{
        self.name,   self.incarnation,  self.address, view ? view->record.generation + 1 : 0,
        self.weight, isContested(view),
    };
    Transaction transaction;
    transaction.conditions.push_back({ keys::owner(m_shard), view ? view->revision : 0 });
    if (view && mayHaveOwner(*view)) {
        const auto successors = m_membership.successors(m_shard);
        transaction.conditions.push_back({ keys::member(view->record.name), 0 });
        transaction.conditions.push_back(
            { keys::successors(m_shard), successors ? successors->revision : 0 });
    }
    transaction.writes.push_back({ keys::owner(m_shard), encode(record), 0 });
    m_claiming = true;
    const std::uint64_t replacedRevision = view ? view->revision : 0;
    if (!isClaimUnresolved(replacedRevision))
        m_claimSentAt = m_timers.now();
    m_log.write(m_timers.now(), "shard.claiming",
                { { "shard", m_shard },
                  { "previousOwner", view ? view->record.name : std::string() },
                  { "previousRevision", replacedRevision },
                  { "contested", record.contested } });
    m_store.commit(transaction,
                   [this, alive = m_alive, record,
                    replacedRevision](const Result<TransactionOutcome> &outcome) {
                       if (!*alive)
                           return;
                       if (!outcome.has_value() && mayHaveTakenEffect(outcome.error())) {
                           m_unresolvedClaim = replacedRevision;
                           m_unresolvedUntil = m_timers.now() + maxClaimDelay;
                       }
                       handleClaimResult(record, outcome);
                   });
}

void Election::handleClaimResult(const OwnerRecord &record,
                                 const Result<TransactionOutcome> &outcome)
{
    m_claiming = false;
    if (outcome.has_value()) {
        if (const auto *committed = std::get_if<Committed>(&outcome.value())) {
            m_membership.recordOwner(m_shard, record, committed->revision);
            becomeOwner(record, committed->revision);
            return;
        }
    }
    // The watch reports a claim that took effect although its response was lost.
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
    m_ownership = Ownership{ revision, record.generation, m_claimSentAt, record.contested };
    m_log.write(m_timers.now(), "shard.owned",
                { { "shard", m_shard },
                  { "revision", revision },
                  { "generation", record.generation },
                  { "contested", record.contested } });
    m_listener.acquired(*m_ownership);
}

bool Election::promise(std::uint64_t ownershipRevision)
{
    const auto view = m_membership.owner(m_shard);
    const bool isNewest =
        (!view || view->revision <= ownershipRevision) && m_promisedRevision <= ownershipRevision;
    const bool mayBeClaimed = m_claiming || isClaimUnresolved(ownershipRevision);
    if (m_ownership || mayBeClaimed || !isNewest)
        return false;
    if (m_promisedRevision != ownershipRevision || m_promisedUntil <= m_timers.now())
        m_log.write(m_timers.now(), "shard.promised",
                    { { "shard", m_shard }, { "revision", ownershipRevision } });
    m_promisedRevision = ownershipRevision;
    m_promisedUntil = m_timers.now() + promiseTime;
    return true;
}

void Election::loseOwnership(const char *reason)
{
    if (!m_ownership)
        return;
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
    m_withdrawn = true;
    if (!m_ownership) {
        done();
        return;
    }
    Transaction transaction;
    transaction.conditions.push_back({ keys::owner(m_shard), m_ownership->revision });
    const auto list = m_membership.successors(m_shard);
    const bool fenced = list && list->record.ownershipRevision == m_ownership->revision;
    const OwnerRecord noOwner{
        "",
        0,
        "",
        m_ownership->generation,
        m_membership.self().weight,
        m_ownership->contested && !fenced,
    };
    transaction.writes.push_back({ keys::owner(m_shard), encode(noOwner), 0 });
    loseOwnership("handed over");
    m_store.commit(transaction,
                   [done = std::move(done)](const Result<TransactionOutcome> &) { done(); });
}

} // namespace cowsliprock::cell
