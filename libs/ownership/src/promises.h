#pragma once

#include "context.h"

#include <map>
#include <optional>
#include <set>

namespace cowsliprock::ownership {

/// Promises not to take over that this daemon received from its successors.
class ReceivedPromises
{
public:
    explicit ReceivedPromises(const SharedState &shared) noexcept
        : m_shared(shared)
    { }

    /// Requests promises from all \p successors, at most once per request interval. If
    /// \p validityExpired, it asks only the successor whose promise is oldest: if one successor
    /// does not answer, the promises of the others have no effect and only block a take-over.
    void request(const std::set<DaemonIdentity> &successors, std::uint64_t recordVersion,
                 bool validityExpired, EventContext &context);
    void handle(const DaemonIdentity &from, const message::PromiseReply &reply);
    void clear();

    /// Time until which all \p successors have promised; empty if one has not or there are none.
    [[nodiscard]] std::optional<TimePoint>
    validUntil(const std::set<DaemonIdentity> &successors) const;

private:
    const SharedState &m_shared;
    std::uint64_t m_sequence = 0;
    std::optional<TimePoint> m_lastRequestAt;
    std::map<std::uint64_t, TimePoint> m_requests; ///< Send times by sequence number.
    [[nodiscard]] TimePoint until(const DaemonIdentity &successor) const;
    std::map<DaemonIdentity, TimePoint> m_until;
};

/// Promises and waivers that this daemon granted as a successor of other daemons.
class GivenPromises
{
public:
    explicit GivenPromises(const SharedState &shared) noexcept
        : m_shared(shared)
    { }

    /// Decides on a promise request. \p knownVersion is the last version read of the owner's
    /// record, or 0 if that record belongs to another incarnation; \p ended is true if the owner is
    /// known to have ended.
    [[nodiscard]] bool grant(const DaemonIdentity &owner, std::uint64_t requestVersion,
                             std::uint64_t knownVersion, bool ended, TimePoint now);

    /// Decides on a waiver request, which is refused while a promise is in effect.
    [[nodiscard]] bool waive(const DaemonIdentity &owner, std::uint64_t recordVersion,
                             TimePoint now);

    /// Refuses promises to the owner for record versions up to \p recordVersion.
    void refuseUpTo(const DaemonIdentity &owner, std::uint64_t recordVersion);

    /// End of the last promise to the owner; the clock's epoch if none was granted.
    [[nodiscard]] TimePoint promisedUntil(const DaemonIdentity &owner) const;

private:
    struct Owner
    {
        TimePoint promisedUntil;
        std::uint64_t refusedVersion = 0;
    };

    const SharedState &m_shared;
    std::map<DaemonIdentity, Owner> m_owners;
};

} // namespace cowsliprock::ownership
