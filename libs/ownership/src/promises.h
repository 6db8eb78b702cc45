#pragma once

#include "context.h"

#include <map>
#include <optional>
#include <set>

namespace cowsliprock::ownership {

/// Promises that this daemon received from its successors.
class ReceivedPromises
{
public:
    explicit ReceivedPromises(const Shared &shared) noexcept
        : m_shared(shared)
    { }

    /// Asks all \p successors unless it did so within the request interval. After the validity has
    /// \p lapsed it asks only the one whose promise is oldest: a successor that does not answer
    /// makes the promises of the others useless, and these would only block a take-over.
    void request(const std::set<DaemonIdentity> &successors, std::uint64_t recordVersion,
                 bool lapsed, EventContext &context);
    void handle(const DaemonIdentity &from, const message::PromiseReply &reply);
    void clear();

    /// Until when all \p successors promised; nothing if one did not or there is none.
    [[nodiscard]] std::optional<TimePoint>
    validUntil(const std::set<DaemonIdentity> &successors) const;

private:
    const Shared &m_shared;
    std::uint64_t m_sequence = 0;
    std::optional<TimePoint> m_lastRequestAt;
    std::map<std::uint64_t, TimePoint> m_requests; ///< Time of sending by sequence.
    [[nodiscard]] TimePoint until(const DaemonIdentity &successor) const;
    std::map<DaemonIdentity, TimePoint> m_until;
};

/// Promises and waivers that this daemon gave as a successor of others.
class GivenPromises
{
public:
    explicit GivenPromises(const Shared &shared) noexcept
        : m_shared(shared)
    { }

    /// Decides on a promise. \p knownVersion is the latest version read of the owner's record, 0
    /// if that record is of another incarnation; \p ended is true if the owner is known to have
    /// ended.
    [[nodiscard]] bool grant(const DaemonIdentity &owner, std::uint64_t requestVersion,
                             std::uint64_t knownVersion, bool ended, TimePoint now);

    /// Decides on a waiver, which is refused while a promise is outstanding.
    [[nodiscard]] bool waive(const DaemonIdentity &owner, std::uint64_t recordVersion,
                             TimePoint now);

    /// From now on refuses promises to the owner until a record newer than \p recordVersion.
    void refuseAt(const DaemonIdentity &owner, std::uint64_t recordVersion);

    /// End of the last promise to the owner; the epoch of the clock if none was given.
    [[nodiscard]] TimePoint promisedUntil(const DaemonIdentity &owner) const;

private:
    struct Owner
    {
        TimePoint promisedUntil;
        std::uint64_t refusedVersion = 0;
    };

    const Shared &m_shared;
    std::map<DaemonIdentity, Owner> m_owners;
};

} // namespace cowsliprock::ownership
