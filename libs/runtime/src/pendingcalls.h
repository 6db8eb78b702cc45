#pragma once

#include <base/id.h>

#include <chrono>
#include <future>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cowsliprock {

/// HTTP threads that wait for the kernel's answer, by identifier. Thread-safe.
template <typename Key, typename Answer>
class PendingCalls
{
public:
    [[nodiscard]] std::future<Answer> add(const Key &key)
    {
        const std::lock_guard lock(m_mutex);
        return m_promises[key].get_future();
    }

    /// Hands the answer over. Returns false if nobody waits for it any more.
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

    void abandon(const Key &key)
    {
        const std::lock_guard lock(m_mutex);
        m_promises.erase(key);
    }

    /// Waits for the answer of \p key until \p limit has passed, then abandons it.
    [[nodiscard]] std::optional<Answer> wait(const Key &key, std::future<Answer> &future,
                                             std::chrono::milliseconds limit)
    {
        if (future.wait_for(limit) != std::future_status::ready) {
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
