#pragma once

#include "prefixwatch.h"
#include "records.h"

#include <cell/ports.h>

#include <base/eventlog.h>
#include <eventloop/timers.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// An owner record with its revision in the store.
struct OwnerView
{
    OwnerRecord record;
    std::uint64_t revision = 0;
};

/// A list of successors with its revision in the store.
struct SuccessorsView
{
    SuccessorsRecord record;
    std::uint64_t revision = 0;
};

/// Maintains this daemon's presence record in the store under a lease, and watches the other
/// daemons and the owners of the shards.
class Membership
{
public:
    Membership(StorePort &store, Timers &timers, EventLog &log, MemberRecord self);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /// \p changed is called whenever a member, an owner or this daemon's presence has changed.
    void start(std::function<void()> changed);

    /// Revokes the lease, so that the other daemons notice the departure immediately.
    void leave();

    [[nodiscard]] const MemberRecord &self() const noexcept { return m_self; }
    [[nodiscard]] const std::map<std::string, MemberRecord> &members() const noexcept
    {
        return m_members;
    }
    [[nodiscard]] std::optional<OwnerView> owner(std::uint32_t shard) const;
    [[nodiscard]] std::optional<SuccessorsView> successors(std::uint32_t shard) const;

    /// True once the first list has been read.
    [[nodiscard]] bool synchronized() const noexcept { return m_watch.synchronized(); }

    /// When the store became reachable after the last outage, or the epoch of the clock if there
    /// was none; nullopt while the store is unreachable.
    [[nodiscard]] std::optional<TimePoint> storeReachableSince() const noexcept
    {
        return m_reachableSince;
    }

    /// Until when this daemon's presence record is certainly in the store; the epoch of the clock
    /// if it may be missing.
    [[nodiscard]] TimePoint presentUntil() const noexcept;

    /// Counts the presence records of this daemon: the record may have been missing between two of
    /// them. 0 while there is none.
    [[nodiscard]] std::uint64_t presenceNumber() const noexcept
    {
        return m_announced ? m_presenceNumber : 0;
    }

    /// Since when no change of the members or owners can have been missed.
    [[nodiscard]] TimePoint observedSince() const noexcept { return m_observedSince; }

    /// Applies the result of this daemon's own write before the watch reports it.
    void recordOwner(std::uint32_t shard, const OwnerRecord &record, std::uint64_t revision);

private:
    void obtainLease();
    void announce();
    void handleAnnounced(const TransactionOutcome &outcome);
    void retryAnnouncement(const std::vector<StoreItem> &present);
    void recordAnnounced(std::uint64_t revision);
    void scheduleAnnouncement();
    void keepLease(std::uint64_t lease);
    void leaseKept(TimePoint requestedAt);
    void checkRenewal();
    void handleListed();
    void leaseLost(const char *reason);
    void apply(const StoreItem &item);
    void handleRemoval(const std::string &key, std::uint64_t revision);
    void setReachable(bool isReachable);

    StorePort &m_store;
    Timers &m_timers;
    EventLog &m_log;
    MemberRecord m_self;
    std::function<void()> m_changed;
    std::map<std::string, MemberRecord> m_members;
    std::map<std::uint32_t, OwnerView> m_owners;
    std::map<std::uint32_t, SuccessorsView> m_successors;
    std::optional<TimePoint> m_reachableSince;
    TimePoint m_observedSince{};
    std::uint64_t m_lease = 0;
    TimePoint m_renewedAt{};            ///< When the last confirmed renewal of the lease was sent.
    std::uint64_t m_recordRevision = 0; ///< Last known revision of the presence record.
    std::uint64_t m_presenceNumber = 0;
    bool m_announced = false; ///< The presence record is stored under the lease.
    bool m_renewalOverdue = false;
    bool m_leaving = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    PrefixWatch m_watch;
};

} // namespace cowsliprock::cell
