#pragma once

#include <cell/ports.h>

#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cowsliprock::cell {

/// Follows all keys below a prefix of the store: a list first, then watches.
/// Survives lost history and outages by listing again; never reports an older value of a key
/// after a newer one.
class PrefixWatch
{
public:
    struct Listener
    {
        std::function<void(const StoreItem &)> changed;
        std::function<void(const std::string &key, std::uint64_t revision)> removed;
        std::function<void()> listed;        ///< After each complete list.
        std::function<void(bool)> reachable; ///< The store was lost (false) or regained (true).
    };

    struct Options
    {
        Duration wait{};     ///< Longest time that one watch waits for an event.
        Duration coalesce{}; ///< Pause between an event and the next watch.
    };

    PrefixWatch(StorePort &store, Timers &timers, std::string prefix, Options options,
                Listener listener);
    ~PrefixWatch();
    PrefixWatch(const PrefixWatch &) = delete;
    PrefixWatch &operator=(const PrefixWatch &) = delete;

    void start();

    [[nodiscard]] bool synchronized() const noexcept;

    /// Reports a change that became known in another way, unless the watch has passed it already.
    void offer(const StoreItem &item);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock::cell
