#pragma once

#include "peertable.h"
#include "storevalue.h"

#include <optional>

namespace cowsliprock {

/// Follows the configuration in the store. Every daemon reads /configuration/current once. The
/// watcher of a region then watches the key of the next change, whose value is a patch rather than
/// the whole document. If a change remains a proposal, its writer may have failed after the commit,
/// so the watcher also watches /configuration/current.
class StoreFollower
{
public:
    StoreFollower(VersionKeeper &versions, const PeerTable &peers, CallSequence &calls) noexcept
        : m_versions(versions)
        , m_peers(peers)
        , m_calls(calls)
    { }

    void advance(TimePoint now, Output &output);

    /// Returns false if the reply does not belong to a call of this object.
    bool handle(const event::StoreReply &reply, TimePoint now, Output &output);

    /// Schedules another read of the whole document.
    void requestLoad() noexcept { m_loadNeeded = true; }

    /// Returns true once the store has answered a read.
    [[nodiscard]] bool loaded() const noexcept { return m_loaded; }

private:
    void load(Output &output);
    void watchChange(TimePoint now, Output &output);
    void watchCurrent(TimePoint now, Output &output);
    void handleLoad(const event::StoreReply &reply, TimePoint now, Output &output);
    void handleChange(const event::StoreReply &reply, TimePoint now, Output &output);
    void handleCurrent(const event::StoreReply &reply, TimePoint now, Output &output);

    VersionKeeper &m_versions;
    const PeerTable &m_peers;
    CallSequence &m_calls;

    bool m_loaded = false;
    bool m_loadNeeded = true;
    CallId m_loadCall;
    TimePoint m_nextLoad;

    CallId m_changeCall;
    std::uint64_t m_changeVersion = 0; ///< Version whose change record is watched.
    std::uint64_t m_changeRow = 0;     ///< Last seen row version of that change record.
    TimePoint m_nextChange;
    std::optional<TimePoint> m_proposedAt;

    CallId m_currentCall;
    TimePoint m_nextCurrent;
};

} // namespace cowsliprock
