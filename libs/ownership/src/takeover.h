#pragma once

#include "context.h"
#include "observer.h"
#include "peers.h"
#include "promises.h"
#include "storecalls.h"

#include <map>
#include <optional>
#include <set>

namespace cowsliprock::ownership {

/// Ends the records of daemons that are dead or have lost the store and their successors.
class TakeOver
{
public:
    TakeOver(const Shared &shared, StoreCalls &calls, Observer &observer, Peers &peers,
             GivenPromises &given) noexcept;

    /// Begins every take-over that is allowed now.
    void tick(EventContext &context);

    void handle(const DaemonIdentity &from, const message::WaiverReply &reply, TimePoint now);
    void handle(const event::VmList &list, TimePoint now);

    /// Latest time at which a daemon that this one ended may have been inside its validity.
    [[nodiscard]] std::optional<TimePoint> validityEnd(const DaemonIdentity &identity) const;

private:
    struct Waiver
    {
        std::uint64_t recordVersion = 0;
        TimePoint receivedAt;
    };

    struct Vm
    {
        bool listed = false;
        std::optional<TimePoint> missingSince; ///< Set only if it was listed before.
    };

    [[nodiscard]] bool isSteady(const Observer::Observed &observed, TimePoint now) const;
    /// End of the old owner's validity if it is proved that it is over.
    [[nodiscard]] std::optional<TimePoint>
    proof(const DaemonIdentity &owner, const Observer::Observed &observed, TimePoint now) const;
    [[nodiscard]] bool hasWaiver(const DaemonIdentity &owner,
                                 const Observer::Observed &observed) const;
    [[nodiscard]] bool hasVmEnded(const DaemonIdentity &owner,
                                  const Observer::Observed &observed) const;
    void requestWaiver(const DaemonIdentity &owner, const Observer::Observed &observed,
                       EventContext &context);
    void begin(const DaemonIdentity &owner, const Observer::Observed &observed,
               TimePoint validityEnd, EventContext &context);

    const Shared &m_shared;
    StoreCalls &m_calls;
    Observer &m_observer;
    Peers &m_peers;
    GivenPromises &m_given;
    std::set<DaemonName> m_writing;
    std::map<DaemonIdentity, TimePoint> m_validityEnds;
    std::map<DaemonIdentity, Waiver> m_waivers; ///< By owner.
    std::map<DaemonIdentity, TimePoint> m_waiverRequestedAt;
    std::map<std::string, Vm> m_vms;
};

} // namespace cowsliprock::ownership
