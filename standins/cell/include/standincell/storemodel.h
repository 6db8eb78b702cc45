#pragma once

#include <cell/ports.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cowsliprock::standincell {

/// Faults injected into the calls of a daemon to the store.
enum class StoreFault {
    None,
    Refuse,    ///< Replies that nothing was done.
    Silent,    ///< Neither applies the call nor replies.
    Reset,     ///< Applies nothing and closes the connection without a reply.
    LoseReply, ///< Applies the call but does not reply.
    ApplyLate  ///< Applies writes seconds later and does not reply.
};

/// In-memory model of the platform's store: revisions, conditional transactions, leases, watches
/// and a bounded event history. All operations take effect immediately; delays and faults are added
/// by the caller.
class StoreModel
{
public:
    explicit StoreModel(Timers &timers);
    ~StoreModel();
    StoreModel(const StoreModel &) = delete;
    StoreModel &operator=(const StoreModel &) = delete;

    [[nodiscard]] std::optional<cell::StoreItem> read(const std::string &key) const;
    [[nodiscard]] cell::StorePage list(const std::string &prefix, const std::string &after) const;
    [[nodiscard]] cell::TransactionOutcome commit(const cell::Transaction &transaction);

    /// Calls \p done on the next event, on loss of the history, or after \p wait.
    void watch(const std::string &prefix, std::uint64_t after, Duration wait,
               cell::Done<cell::StoreEvents> done);
    [[nodiscard]] std::uint64_t grantLease(Duration timeToLive);
    [[nodiscard]] bool keepLease(std::uint64_t lease);
    void endLease(std::uint64_t lease);

    /// Writes a key unconditionally, as the operator and the workers do.
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);

    /// Discards the history: watches from an earlier revision report that it is lost.
    void compact();
    /// While suppressed, watches deliver no events.
    void suppressEvents(bool suppressed);

    /// While paused, leases do not expire, as in some outages.
    void pauseLeases(bool paused) noexcept { m_leasesPaused = paused; }

    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

private:
    struct Lease
    {
        Duration timeToLive{};
        TimePoint ends{};
    };
    struct Watcher
    {
        std::uint64_t number = 0;
        std::string prefix;
        std::uint64_t after = 0;
        cell::Done<cell::StoreEvents> done;
    };

    void appendEvent(const cell::StoreEvent &event);
    void notifyWatchers();
    void checkLease(std::uint64_t lease);
    [[nodiscard]] cell::StoreEvents eventsAfter(const std::string &prefix,
                                                std::uint64_t after) const;

    Timers &m_timers;
    std::map<std::string, cell::StoreItem> m_items;
    std::deque<cell::StoreEvent> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::list<Watcher> m_watchers;
    std::uint64_t m_lastWatcher = 0;
    bool m_eventsSuppressed = false;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedRevision = 1; ///< The history is complete after this revision.
    std::uint64_t m_lastLease = 0;
    bool m_leasesPaused = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::standincell
