#include "membership.h"

#include "keys.h"
#include "leasetimes.h"

#include <base/parsenumber.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr std::chrono::milliseconds renewInterval{ 500 };
constexpr std::chrono::milliseconds retryDelay{ 200 };
/// Renewals that are not confirmed for this long are logged.
constexpr std::chrono::milliseconds renewalOverdueTime{ 1000 };

constexpr PrefixWatch::Options watchOptions{ std::chrono::milliseconds(1500),
                                             std::chrono::milliseconds(5) };

std::optional<std::uint32_t> shardOfKey(const std::string &key, const char *kind)
{
    const std::string prefix = keys::membersPrefix + kind;
    if (!key.starts_with(prefix))
        return std::nullopt;
    return parseNumber<std::uint32_t>(std::string_view(key).substr(prefix.size()));
}

std::optional<std::string> memberOfKey(const std::string &key)
{
    const std::string prefix = keys::membersPrefix + "member/";
    if (!key.starts_with(prefix))
        return std::nullopt;
    return key.substr(prefix.size());
}

} // namespace

Membership::Membership(StorePort &store, Timers &timers, EventLog &log, MemberRecord self)
    : m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_self(std::move(self))
    , m_watch(store, timers, keys::membersPrefix, watchOptions,
              { [this](const StoreItem &item) { apply(item); },
                [this](const std::string &key, std::uint64_t revision) {
                    handleRemoval(key, revision);
                },
                [this] { handleListed(); },
                [this](bool isReachable) { setReachable(isReachable); } })
{ }

Membership::~Membership()
{
    *m_alive = false;
}

void Membership::start(std::function<void()> changed)
{
    m_changed = std::move(changed);
    obtainLease();
    m_watch.start();
}

void Membership::leave()
{
    m_leaving = true;
    if (m_lease != 0)
        m_store.endLease(m_lease);
    m_lease = 0;
    m_announced = false;
}

std::optional<OwnerView> Membership::owner(std::uint32_t shard) const
{
    if (const auto entry = m_owners.find(shard); entry != m_owners.end())
        return entry->second;
    return std::nullopt;
}

std::optional<SuccessorsView> Membership::successors(std::uint32_t shard) const
{
    if (const auto entry = m_successors.find(shard); entry != m_successors.end())
        return entry->second;
    return std::nullopt;
}

TimePoint Membership::presentUntil() const noexcept
{
    return m_announced ? m_renewedAt + shortened(presenceTimeToLive) : TimePoint();
}

void Membership::recordOwner(std::uint32_t shard, const OwnerRecord &record, std::uint64_t revision)
{
    auto &view = m_owners[shard];
    if (revision > view.revision)
        view = { record, revision };
}

void Membership::obtainLease()
{
    if (m_leaving)
        return;
    m_store.grantLease(
        presenceTimeToLive,
        [this, alive = m_alive, requestedAt = m_timers.now()](const Result<std::uint64_t> &lease) {
            if (!*alive || m_leaving)
                return;
            if (!lease.has_value()) {
                m_timers.after(retryDelay, [this, alive] {
                    if (*alive)
                        obtainLease();
                });
                return;
            }
            m_lease = lease.value();
            leaseKept(requestedAt);
            announce();
            keepLease(m_lease);
        });
}

void Membership::announce()
{
    // The condition keeps out a late write of the previous process of this daemon, or of this one.
    Transaction transaction;
    transaction.conditions.push_back({ keys::member(m_self.name), m_recordRevision });
    transaction.writes.push_back({ keys::member(m_self.name), encode(m_self), m_lease });
    m_store.commit(
        transaction,
        [this, alive = m_alive, lease = m_lease](const Result<TransactionOutcome> &outcome) {
            if (!*alive || m_leaving || lease != m_lease)
                return;
            if (outcome.has_value())
                handleAnnounced(outcome.value());
            else
                scheduleAnnouncement();
        });
}

void Membership::handleAnnounced(const TransactionOutcome &outcome)
{
    if (const auto *committed = std::get_if<Committed>(&outcome))
        recordAnnounced(committed->revision);
    else if (const auto *failed = std::get_if<ConditionFailed>(&outcome))
        retryAnnouncement(failed->present);
    else
        leaseLost("lease has expired before the presence record was written");
}

void Membership::retryAnnouncement(const std::vector<StoreItem> &present)
{
    const StoreItem *record = present.empty() ? nullptr : &present.front();
    m_recordRevision = record == nullptr ? 0 : record->revision;
    // An earlier write of this process may have taken effect without a response.
    if (record != nullptr && record->lease == m_lease && record->value == encode(m_self))
        recordAnnounced(record->revision);
    else
        announce();
}

void Membership::recordAnnounced(std::uint64_t revision)
{
    m_recordRevision = revision;
    if (std::exchange(m_announced, true))
        return;
    ++m_presenceNumber;
    m_log.write(m_timers.now(), "presence.announced", { { "lease", m_lease } });
    m_changed();
}

void Membership::scheduleAnnouncement()
{
    // The lease is kept: a write without a response may still take effect, and its record must not
    // be bound to a lease that is no longer renewed.
    m_timers.after(retryDelay, [this, alive = m_alive, lease = m_lease] {
        if (*alive && !m_leaving && lease == m_lease)
            announce();
    });
}

void Membership::keepLease(std::uint64_t lease)
{
    // Renewals are sent at a fixed rate without waiting for the previous response, which may only
    // be slow.
    m_timers.after(renewInterval, [this, lease, alive = m_alive] {
        if (!*alive || m_leaving || lease != m_lease)
            return;
        checkRenewal();
        m_store.keepLease(
            lease, [this, lease, alive, requestedAt = m_timers.now()](const Result<bool> &kept) {
                // A missing response does not mean that the lease is gone: only the store can tell
                // that it has expired.
                if (!*alive || m_leaving || lease != m_lease || !kept.has_value())
                    return;
                if (kept.value())
                    leaseKept(requestedAt);
                else
                    leaseLost("lease has expired");
            });
        keepLease(lease);
    });
}

void Membership::leaseKept(TimePoint requestedAt)
{
    m_renewedAt = std::max(m_renewedAt, requestedAt);
    if (std::exchange(m_renewalOverdue, false))
        m_log.write(m_timers.now(), "presence.renewed", { { "lease", m_lease } });
}

void Membership::checkRenewal()
{
    const auto unconfirmed = m_timers.now() - m_renewedAt;
    if (unconfirmed < renewalOverdueTime || std::exchange(m_renewalOverdue, true))
        return;
    m_log.write(m_timers.now(), "presence.renewalOverdue",
                { { "lease", m_lease }, { "unconfirmedMs", toMilliseconds(unconfirmed) } });
}

void Membership::leaseLost(const char *reason)
{
    m_log.write(m_timers.now(), "presence.lost", { { "lease", m_lease }, { "reason", reason } });
    m_lease = 0;
    m_announced = false;
    m_timers.after(retryDelay, [this, alive = m_alive] {
        if (*alive)
            obtainLease();
    });
}

void Membership::apply(const StoreItem &item)
{
    if (const auto shard = shardOfKey(item.key, "owner/")) {
        if (const auto record = decodeOwner(item.value))
            recordOwner(*shard, *record, item.revision);
    } else if (const auto listShard = shardOfKey(item.key, "successors/")) {
        m_successors[*listShard] = { decodeSuccessors(item.value).value_or(SuccessorsRecord()),
                                     item.revision };
    } else if (const auto name = memberOfKey(item.key)) {
        if (auto record = decodeMember(item.value)) {
            if (!m_members.contains(*name))
                m_log.write(m_timers.now(), "member.joined",
                            { { "member", *name }, { "revision", item.revision } });
            if (*name == m_self.name)
                m_recordRevision = std::max(m_recordRevision, item.revision);
            m_members.insert_or_assign(*name, std::move(*record));
        }
    }
    if (m_watch.synchronized())
        m_changed();
}

void Membership::handleListed()
{
    m_observedSince = m_timers.now();
    // The first list does not mark the end of an outage.
    if (!m_reachableSince)
        m_reachableSince = TimePoint();
    m_changed();
}

void Membership::handleRemoval(const std::string &key, std::uint64_t revision)
{
    if (const auto name = memberOfKey(key)) {
        m_log.write(m_timers.now(), "member.left",
                    { { "member", *name }, { "revision", revision } });
        m_members.erase(*name);
        // A removal that precedes the newest write of the record is outdated.
        if (*name == m_self.name && m_lease != 0 && !m_leaving && revision > m_recordRevision) {
            m_recordRevision = 0;
            m_announced = false;
            announce();
        }
    }
    if (m_watch.synchronized())
        m_changed();
}

void Membership::setReachable(bool isReachable)
{
    m_log.write(m_timers.now(), isReachable ? "store.regained" : "store.lost", {});
    if (isReachable)
        m_reachableSince = m_observedSince = m_timers.now();
    else
        m_reachableSince.reset();
    m_changed();
}

} // namespace cowsliprock::cell
