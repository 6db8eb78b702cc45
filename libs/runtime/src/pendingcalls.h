#pragma once

#include <base/id.h>

#include <chrono>
#include <future>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cowsliprock {

/// Calls whose HTTP threads wait for an answer from the kernel, by identifier. Thread-safe.
template <typename Key, typename Answer>
class PendingCalls
{
public:
    /// Registers a call. To be called before the kernel can answer it.
    [[nodiscard]] std::future<Answer> add(const Key &key)
    {
        const std::lock_guard lock(m_mutex);
        return m_promises[key].get_future();
    }

    /// Passes the answer to the waiting thread. Returns false if no thread waits for it any more.
    bool complete(const Key &key, Answer answer)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_promises.find(key);
        if (found == m_promises.end())
            return false;
        found->second.set_value(std::move(answer));
        m_promises.erase(found);
        return true;
    }

    /// Removes a call; a later answer is discarded.
    void abandon(const Key &key)
    {
        const std::lock_guard lock(m_mutex);
        m_promises.erase(key);
    }

    /// Waits for the answer to \p key for at most \p timeout. Abandons the call on a timeout.
    [[nodiscard]] std::optional<Answer> wait(const Key &key, std::future<Answer> &future,
                                             std::chrono::milliseconds timeout)
    {
        if (future.wait_for(timeout) != std::future_status::ready) {
            abandon(key);
            // The kernel may have completed the call between the wait and abandon().
            if (future.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
                return std::nullopt;
        }
        try {
            return future.get();
        } catch (const std::future_error &) {
            return std::nullopt;
        }
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_promises.size();
    }

private:
    mutable std::mutex m_mutex;
    std::unordered_map<Key, std::promise<Answer>> m_promises;
};

} // namespace cowsliprock
