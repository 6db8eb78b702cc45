#pragma once

#include <cell/ports.h>

#include <eventloop/timers.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Writes the state of a shard in batches, each under the condition that the daemon still owns the
/// shard. Later values of a key replace earlier ones that were not sent yet. Each write is also
/// conditional on the revision of its key: a write without an answer may be carried out seconds
/// later, and must not replace a newer value then.
class FencedWriter
{
public:
    /// \p lost is called once, from the event loop, when the owner's key has another revision.
    FencedWriter(StorePort &store, Timers &timers, StoreCondition fence,
                 std::function<void()> lost);
    ~FencedWriter();
    FencedWriter(const FencedWriter &) = delete;
    FencedWriter &operator=(const FencedWriter &) = delete;

    /// Notes the revision of a key that was read; keys that were not are taken to be absent.
    void known(const std::string &key, std::uint64_t revision);

    void write(const std::string &key, std::string value);
    void remove(const std::string &key);

    /// Calls \p action when everything that was handed in before is durable.
    void whenDurable(std::function<void()> action);

    [[nodiscard]] bool idle() const noexcept;
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cowsliprock::cell
