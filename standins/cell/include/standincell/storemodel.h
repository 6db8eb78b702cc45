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

/// How the store treats the calls of a daemon.
enum class StoreFault {
    None,
    Refuse,  ///< Answers that it did nothing.
    Silent,  ///< Neither acts nor answers.
    Reset,   ///< Does nothing, and closes the connection without an answer.
    Lose,    ///< Acts and does not answer.
    LoseLate ///< Writes take effect seconds later and are not answered.
};

/// The platform's store: revisions, conditions, leases, watches and a bounded history.
/// Every member takes effect at once; who calls it adds delay and faults.
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

    /// \p done is called when there is an event, after \p wait, or when watches are cut.
    void watch(const std::string &prefix, std::uint64_t after, Duration wait,
               cell::Done<cell::StoreEvents> done);
    [[nodiscard]] std::uint64_t grantLease(Duration timeToLive);
    [[nodiscard]] bool keepLease(std::uint64_t lease);
    void endLease(std::uint64_t lease);

    /// Writes a key without a condition, as the operator and the workers do.
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);

    /// Forgets the history: watches that begin before now learn that it is lost.
    void compact();
    /// Watches hear nothing until this is taken back.
    void deafen(bool deaf);

    /// Leases stand still, as during some outages.
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

    void change(const cell::StoreEvent &event);
    void notify();
    void checkLease(std::uint64_t lease);
    [[nodiscard]] cell::StoreEvents eventsAfter(const std::string &prefix,
                                                std::uint64_t after) const;

    Timers &m_timers;
    std::map<std::string, cell::StoreItem> m_items;
    std::deque<cell::StoreEvent> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::list<Watcher> m_watchers;
    std::uint64_t m_lastWatcher = 0;
    bool m_deaf = false;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldest = 1; ///< History after this revision is complete.
    std::uint64_t m_lastLease = 0;
    bool m_leasesPaused = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::standincell
