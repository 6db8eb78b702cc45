#pragma once

#include "membership.h"

#include <cell/ports.h>

#include <base/eventlog.h>
#include <eventloop/timers.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace cowsliprock::cell {

/// The right to schedule a shard. The revision of the owner key is the fencing token.
struct Ownership
{
    std::uint64_t revision = 0;
    std::uint64_t generation = 0;
    TimePoint claimedAt{}; ///< When the claim was sent.
    /// An earlier owner may still act, with promises of its successors, on workers that this one
    /// has not fenced.
    bool contested = false;
};

/// Leader election for one shard. The owner key is changed only by compare-and-swap on its
/// revision, so each revision has exactly one owner. The key is not bound to a lease: an owner is
/// considered dead when its presence record has disappeared. The claim is committed only if the
/// record is still missing then, and only by a daemon that has not promised the owner to wait. A
/// daemon that the owner has not named as a successor leaves the claim to those for a while; its
/// ownership is contested.
class Election
{
public:
    struct Listener
    {
        std::function<void(const Ownership &)> acquired;
        std::function<void()> lost;
    };

    Election(StorePort &store, Timers &timers, EventLog &log, Membership &membership,
             std::uint32_t shard, Listener listener);
    ~Election();
    Election(const Election &) = delete;
    Election &operator=(const Election &) = delete;

    /// Re-evaluates the membership. Must be called after each change of it.
    void evaluate();

    /// Called by the owner when a rejected operation shows that there is a newer owner.
    void deposed() { loseOwnership("fenced by a newer owner"); }

    /// Called by the owner when its lease is over.
    void leaseExpired() { loseOwnership("lease has expired"); }

    /// Promises the owner with this revision not to claim the shard within the time that all
    /// daemons agree on. Returns false if a claim has been sent or the owner is not the newest.
    [[nodiscard]] bool promise(std::uint64_t ownershipRevision);

    /// Age of this process; claims of an earlier process of this daemon are not known.
    [[nodiscard]] Duration runningFor() const { return m_timers.now() - m_startedAt; }

    /// Hands the shard over by clearing the owner record. \p done is called when this has been
    /// stored or has failed.
    void release(std::function<void()> done);

    /// Stops this daemon from claiming the shard.
    void withdraw() noexcept { m_withdrawn = true; }

    [[nodiscard]] std::optional<Ownership> ownership() const noexcept { return m_ownership; }

private:
    [[nodiscard]] bool isOwnerAlive(const OwnerView &view) const;
    [[nodiscard]] bool isSelf(const OwnerRecord &record) const noexcept;
    /// True if the owner's presence record is missing and nothing shows that it has ended.
    [[nodiscard]] bool mayHaveOwner(const OwnerView &view) const;
    /// The successors that the owner has stored; nothing if it has not stored any list.
    [[nodiscard]] std::optional<std::vector<Successor>> storedList(const OwnerView &view) const;
    /// The successors that the owner has stored; empty if any daemon may succeed it.
    [[nodiscard]] std::vector<Successor> successorsOf(const OwnerView &view) const;
    /// True if promises that this daemon does not know of may extend the ownership of the recorded
    /// owner, or of an earlier one whose workers the recorded owner has not fenced.
    [[nodiscard]] bool isContested(const std::optional<OwnerView> &view) const;
    [[nodiscard]] std::ptrdiff_t rank(const std::optional<OwnerView> &view) const;
    [[nodiscard]] Duration claimDelay(const std::optional<OwnerView> &view) const;
    /// Earliest time at which no promise of this daemon to the owner can be in force, and the
    /// successors have had the time to claim the shard.
    [[nodiscard]] TimePoint promisesEnd(const std::optional<OwnerView> &view) const;
    /// True if a claim that replaces the owner record with this revision may still take effect.
    [[nodiscard]] bool isClaimUnresolved(std::uint64_t replacedRevision) const;
    void scheduleClaim(const std::optional<OwnerView> &view);
    void claim();
    void handleClaimResult(const OwnerRecord &record, const Result<TransactionOutcome> &outcome);
    void becomeOwner(const OwnerRecord &record, std::uint64_t revision);
    void loseOwnership(const char *reason);

    StorePort &m_store;
    Timers &m_timers;
    EventLog &m_log;
    Membership &m_membership;
    std::uint32_t m_shard;
    Listener m_listener;
    std::optional<Ownership> m_ownership;
    std::uint64_t m_lostRevision = 0;   ///< Revision of the ownership that was lost most recently.
    std::uint64_t m_vacantRevision = 0; ///< Revision of the owner record that has no live owner.
    std::optional<TimePoint> m_vacantSince;
    const TimePoint m_startedAt;
    /// Revision of the owner record that a claim with an unknown outcome may still replace.
    std::optional<std::uint64_t> m_unresolvedClaim;
    TimePoint m_unresolvedUntil{};
    TimePoint m_claimSentAt{}; ///< When the oldest claim that may take effect was sent.
    std::uint64_t m_promisedRevision = 0;
    TimePoint m_promisedUntil{};
    bool m_claiming = false;
    bool m_withdrawn = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
