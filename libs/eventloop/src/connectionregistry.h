#pragma once

#include <base/time.h>

#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace cowsliprock {

/// What a connection of a server is doing. The order is the one of eviction.
enum class ConnectionPhase {
    Closing, ///< The last response was written; input is discarded.
    Unused,  ///< No byte of a request was received yet.
    Idle,    ///< Between two requests.
    Receiving,
    Writing,
    Handling, ///< A request is in progress. Never evicted.
};

/// Connections of a server by deadline and by usefulness.
class ConnectionRegistry
{
public:
    class Entry
    {
    public:
        virtual ~Entry() = default;
        Entry() = default;
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        [[nodiscard]] ConnectionPhase phase() const noexcept { return m_phase; }
        [[nodiscard]] TimePoint since() const noexcept { return m_since; }

        /// Called when the deadline of the current phase has passed.
        virtual void expire() = 0;

        /// Closes the connection to make room, unless a request has arrived completely meanwhile.
        virtual void evict() = 0;

    private:
        friend class ConnectionRegistry;
        ConnectionPhase m_phase = ConnectionPhase::Handling;
        TimePoint m_since{};
        TimePoint m_deadline = TimePoint::max();
    };

    /// \p since orders the connections of a phase for eviction. TimePoint::max() means no deadline.
    void enter(Entry &entry, ConnectionPhase phase, TimePoint since, TimePoint deadline);
    void remove(Entry &entry);

    /// Connection to evict next, or null if a request is in progress on each. One whose response is
    /// being written counts as such at first.
    [[nodiscard]] Entry *leastUseful(TimePoint now) const;

    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;
    /// A connection whose deadline is not after \p now, or null.
    [[nodiscard]] Entry *expired(TimePoint now) const;

private:
    std::set<std::pair<TimePoint, Entry *>> m_deadlines;
    std::set<std::tuple<ConnectionPhase, TimePoint, Entry *>> m_evictable;
};

} // namespace cowsliprock
