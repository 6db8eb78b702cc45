#pragma once

#include "peertable.h"
#include "storevalue.h"

#include <optional>

namespace cowsliprock {

/// Follows the configuration in the store. Every daemon reads /configuration/current once; the
/// watcher of a region then watches the key of the next change, whose value is a patch and not the
/// whole document. A change that stays a proposal (its writer may have died after the acceptance)
/// makes it watch /configuration/current too.
class StoreFollower
{
public:
    StoreFollower(VersionKeeper &versions, const PeerTable &peers, CallSequence &calls) noexcept
        : m_versions(versions)
        , m_peers(peers)
        , m_calls(calls)
    { }

    void advance(TimePoint now, Output &output);

    /// Returns false if the reply belongs to another part.
    bool handle(const event::StoreReply &reply, TimePoint now, Output &output);

    /// Asks for one more read of the whole document.
    void requestLoad() noexcept { m_loadNeeded = true; }

    /// True once the store has answered a read.
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
    std::uint64_t m_changeVersion = 0; ///< Version whose change key is watched.
    std::uint64_t m_changeRow = 0;     ///< Version of that key's row, as last seen.
    TimePoint m_nextChange;
    std::optional<TimePoint> m_proposedAt;

    CallId m_currentCall;
    TimePoint m_nextCurrent;
};

} // namespace cowsliprock
