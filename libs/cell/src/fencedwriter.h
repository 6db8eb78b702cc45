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

/// Order in which changes are written when the store cannot keep up.
enum class Urgency {
    Now,  ///< A client or a task start is waiting for it.
    Soon, ///< A worker keeps its list of finished runs until it is written.
    Later ///< Nothing is waiting for it.
};

/// Writes the state of a shard in batches, each under the condition that the daemon still owns the
/// shard. Later values of a key replace earlier ones that have not been sent yet. Under overload,
/// for example after a fail-over, the changes that clients are waiting for are written first.
class FencedWriter
{
public:
    using Action = std::function<void()>;

    /// \p lost is called once, from the event loop, when the owner key has a different revision.
    FencedWriter(StorePort &store, Timers &timers, StoreCondition fence,
                 std::function<void()> lost);
    ~FencedWriter();
    FencedWriter(const FencedWriter &) = delete;
    FencedWriter &operator=(const FencedWriter &) = delete;

    /// Records the revision of a key that was read; all other keys are assumed to be absent.
    void setRevision(const std::string &key, std::uint64_t revision);

    /// Writes a key under the condition of its last known revision: a write whose response is
    /// missing may be applied seconds later, and must not replace a newer value then. \p durable
    /// is called when this or a later value of the key is stored.
    void write(const std::string &key, std::string value, Urgency urgency, Action durable = {});

    /// Removes a key with the lowest urgency.
    void remove(const std::string &key);

    /// Writes \p key and removes \p removed in one transaction, with the highest urgency and
    /// regardless of their current values. Only for the final change of these keys, since it may be
    /// applied again seconds later.
    void writeFinal(const std::string &key, std::string value,
                    const std::vector<std::string> &removed, Action durable = {});

    /// Calls \p action when all changes added before are durable, except those with
    /// Urgency::Later.
    void whenDurable(Action action);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock::cell
