#pragma once

#include <cell/ports.h>

#include <eventloop/timers.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// In which order changes are written when the store takes fewer than there are.
enum class Urgency {
    Now,  ///< A caller or a start waits for it.
    Soon, ///< A worker's list of ends waits for it.
    Later ///< Nobody waits for it.
};

/// Writes the state of a shard in batches, each under the condition that the daemon still owns the
/// shard. Later values of a key replace earlier ones that were not sent yet. Load it answers: more
/// changes than the store takes, for example after a take-over; what callers wait for goes first.
class FencedWriter
{
public:
    using Action = std::function<void()>;

    /// \p lost is called once, from the event loop, when the owner's key has another revision.
    FencedWriter(StorePort &store, Timers &timers, StoreCondition fence,
                 std::function<void()> lost);
    ~FencedWriter();
    FencedWriter(const FencedWriter &) = delete;
    FencedWriter &operator=(const FencedWriter &) = delete;

    /// Notes the revision of a key that was read; keys that were not are taken to be absent.
    void known(const std::string &key, std::uint64_t revision);

    /// Writes a key under the condition of its last known revision: a write without an answer may
    /// be carried out seconds later, and must not replace a newer value then. \p durable is called
    /// when this or a later value of the key is stored.
    void write(const std::string &key, std::string value, Urgency urgency, Action durable = {});

    /// Removes a key, later.
    void remove(const std::string &key);

    /// Writes \p key and removes \p removed in one transaction, at once and whatever they hold.
    /// Only for a last change: it may be carried out again seconds later.
    void conclude(const std::string &key, std::string value,
                  const std::vector<std::string> &removed, Action durable = {});

    /// Calls \p action when everything that was handed in before is durable, but for what is
    /// written later.
    void whenDurable(Action action);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock::cell
