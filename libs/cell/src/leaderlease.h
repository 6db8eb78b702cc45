#pragma once

#include "membership.h"
#include "succession.h"
#include "workerquorum.h"

#include <cell/ports.h>

#include <base/eventlog.h>
#include <eventloop/timers.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cowsliprock::cell {

/// Time for which this daemon may act as the owner of a shard.
///
/// A successor claims the shard only while the owner's presence record is missing from the store.
/// The owner is therefore the only one for as long as the store confirms its presence. While the
/// store confirms nothing, as in an outage, the successors that the stored list names can promise
/// not to claim the shard; the promises of all of them replace the confirmation as long as a quorum
/// of the workers obeys the owner. Another daemon, which knows nothing of promises, may claim the
/// shard meanwhile, but uses the workers only after it has fenced so many of them that there is no
/// such quorum.
class LeaderLease
{
public:
    struct Ports
    {
        StorePort &store;
        PeerPort &peers;
        Timers &timers;
        EventLog &log;
    };

    struct Settings
    {
        std::uint32_t shard = 0;
        std::uint64_t ownershipRevision = 0;
        TimePoint claimedAt{};  ///< When the claim was sent.
        bool contested = false; ///< An earlier owner may still act on workers.
        /// Time for which a successor waits for tasks of workers that it cannot reach, less the
        /// lease of these tasks.
        Duration gracePeriod{};
    };

    /// \p expired is called once, from the event loop, when the lease is over or the store shows a
    /// newer owner.
    LeaderLease(const Ports &ports, const Membership &membership, const Settings &settings,
                std::function<void()> expired);
    ~LeaderLease();
    LeaderLease(const LeaderLease &) = delete;
    LeaderLease &operator=(const LeaderLease &) = delete;

    void start();

    /// Must be called after each change of the membership.
    void membershipChanged() { verifyOwnership(); }

    /// True while no other daemon can have claimed the shard, except one that does not use the
    /// workers yet. Tasks are started only while it is.
    [[nodiscard]] bool exclusive();

    /// True while the store confirms that no other daemon can have claimed the shard. Tasks of
    /// workers that are silent, or have restarted, are taken for lost only while it is: another
    /// owner may have renewed their leases, or have started them again.
    [[nodiscard]] bool confirmed();

    /// True while the tasks of this owner end before a successor starts them elsewhere. Leases of
    /// tasks are renewed only while it is.
    [[nodiscard]] bool valid();

    [[nodiscard]] WorkerQuorum &workers() noexcept { return m_workers; }

    /// Called when the owner of a contested shard has fenced the workers: it may name successors.
    void workersFenced();

private:
    /// Requests for promises that were sent at the same time.
    struct PromiseRound
    {
        TimePoint sentAt{};
        std::vector<Successor> asked;
        std::size_t pending = 0;
        bool refused = false;
    };

    /// Until when the store or promises keep the shard from being claimed by a successor.
    [[nodiscard]] TimePoint reservedUntil() const;
    [[nodiscard]] Duration leadTime() const;
    void scheduleCheck();
    void check();
    void refresh();
    void logChange();
    void updateSuccessors();
    void verifyOwnership();
    void handleOwnerRecord(std::uint64_t presence, const Result<std::optional<StoreItem>> &item);
    void requestPromises();
    [[nodiscard]] bool countsAsPromise(const Result<PeerAnswer> &answer);
    void handlePromise(PromiseRound &round, bool granted);
    void expire(const char *reason);

    Ports m_ports;
    const Membership &m_membership;
    Settings m_settings;
    std::function<void()> m_expired;
    SuccessorList m_successors;
    WorkerQuorum m_workers;
    /// Presence record during which the store has shown that this daemon is still the owner.
    std::uint64_t m_verifiedPresence = 0;
    TimePoint m_confirmedUntil;  ///< As far as the store has confirmed it.
    TimePoint m_promisedUntil{}; ///< As far as the successors have promised it.
    TimePoint m_exclusiveUntil;
    std::shared_ptr<PromiseRound> m_round; ///< Set while promises are requested.
    bool m_verifying = false;
    bool m_unconfirmedLogged = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
