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

/// Ends the records of daemons that are dead or can reach neither the store nor their successors.
class TakeOver
{
public:
    TakeOver(const SharedState &shared, StoreCalls &calls, Observer &observer, Peers &peers,
             GivenPromises &givenPromises) noexcept;

    /// Starts every take-over that is currently permitted.
    void tick(EventContext &context);

    void handle(const DaemonIdentity &from, const message::WaiverReply &reply, TimePoint now);
    void handle(const event::VmList &list, TimePoint now);

    /// Latest possible end of the validity of a daemon whose record this daemon ended.
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

    [[nodiscard]] bool isUnchanged(const Observer::ObservedRecord &observed, TimePoint now) const;
    /// End of the owner's validity, if it is certain that the validity has ended.
    [[nodiscard]] std::optional<TimePoint>
    provenValidityEnd(const DaemonIdentity &owner, const Observer::ObservedRecord &observed,
                      TimePoint now) const;
    [[nodiscard]] bool hasWaiver(const DaemonIdentity &owner,
                                 const Observer::ObservedRecord &observed) const;
    [[nodiscard]] bool hasVmEnded(const DaemonIdentity &owner,
                                  const Observer::ObservedRecord &observed) const;
    void requestWaiver(const DaemonIdentity &owner, const Observer::ObservedRecord &observed,
                       EventContext &context);
    void startTakeOver(const DaemonIdentity &owner, const Observer::ObservedRecord &observed,
                       TimePoint validityEnd, EventContext &context);

    const SharedState &m_shared;
    StoreCalls &m_calls;
    Observer &m_observer;
    Peers &m_peers;
    GivenPromises &m_givenPromises;
    std::set<DaemonName> m_pendingWrites;
    std::map<DaemonIdentity, TimePoint> m_validityEnds;
    std::map<DaemonIdentity, Waiver> m_waivers; ///< By owner.
    std::map<DaemonIdentity, TimePoint> m_waiverRequestedAt;
    std::map<std::string, Vm> m_vms;
};

} // namespace cowsliprock::ownership
