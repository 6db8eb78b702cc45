#pragma once

#include "membership.h"

#include <cell/ports.h>

#include <base/eventlog.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace cowsliprock::cell {

/// The right to schedule a shard. The revision of the owner's key is the fencing epoch.
struct Ownership
{
    std::uint64_t revision = 0;
    std::uint64_t generation = 0;
};

/// Decides whether this daemon owns a shard. The owner's key is changed only under the condition
/// that it is as last seen, so there is one owner for each revision. It does not hang on a lease:
/// a dead owner is one whose presence has gone.
class Election
{
public:
    struct Listener
    {
        std::function<void(const Ownership &)> won;
        std::function<void()> lost;
    };

    Election(StorePort &store, Timers &timers, EventLog &log, Membership &membership,
             std::uint32_t shard, Listener listener);
    ~Election();
    Election(const Election &) = delete;
    Election &operator=(const Election &) = delete;

    /// Looks at the membership again. Call it after each change.
    void evaluate();

    /// Called by the owner when a fence shows that there is a newer owner.
    void deposed();

    /// Hands the shard over: the key names no owner afterwards. \p done is called when this is
    /// stored, or when it could not be.
    void release(std::function<void()> done);

    /// Claims no shard from now on.
    void retire() noexcept { m_retired = true; }

    [[nodiscard]] std::optional<Ownership> ownership() const noexcept { return m_ownership; }

private:
    [[nodiscard]] bool ownerAlive(const OwnerView &view) const;
    [[nodiscard]] bool mine(const OwnerRecord &record) const noexcept;
    [[nodiscard]] Duration claimDelay(const std::optional<OwnerView> &view) const;
    void considerClaim(const std::optional<OwnerView> &view);
    void claim();
    void claimed(const OwnerRecord &record, const Result<TransactionOutcome> &outcome);
    void becomeOwner(const OwnerRecord &record, std::uint64_t revision);
    void loseOwnership(const char *reason);

    StorePort &m_store;
    Timers &m_timers;
    EventLog &m_log;
    Membership &m_membership;
    std::uint32_t m_shard;
    Listener m_listener;
    std::optional<Ownership> m_ownership;
    std::uint64_t m_lostRevision = 0;   ///< Revision of the ownership that was lost last.
    std::uint64_t m_vacantRevision = 0; ///< Revision of the owner record that was found vacant.
    std::optional<TimePoint> m_vacantSince;
    bool m_claiming = false;
    bool m_retired = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
