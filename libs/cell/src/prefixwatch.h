#pragma once

#include <cell/ports.h>

#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cowsliprock::cell {

/// Watches all keys with a given prefix: lists them first, then watches for changes.
/// Recovers from compacted history and outages by listing again; never reports an older value of
/// a key after a newer one.
class PrefixWatch
{
public:
    struct Listener
    {
        std::function<void(const StoreItem &)> changed;
        std::function<void(const std::string &key, std::uint64_t revision)> removed;
        std::function<void()> listed; ///< Called after each complete list.
        std::function<void(bool)>
            reachable; ///< The store became unreachable (false) or reachable (true).
    };

    struct Options
    {
        Duration wait{};     ///< Maximum time that one watch waits for an event.
        Duration coalesce{}; ///< Delay between an event and the next watch.
    };

    PrefixWatch(StorePort &store, Timers &timers, std::string prefix, Options options,
                Listener listener);
    ~PrefixWatch();
    PrefixWatch(const PrefixWatch &) = delete;
    PrefixWatch &operator=(const PrefixWatch &) = delete;

    void start();

    [[nodiscard]] bool synchronized() const noexcept;

    /// Reports a change that became known by other means, unless the watch is already past it.
    void offer(const StoreItem &item);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock::cell
