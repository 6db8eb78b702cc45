#pragma once

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <thread>
#include <utility>

namespace cowsliprock {

/// Bounded queue between two duties. All members are thread-safe.
template <typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
    {
        m_queue.set_capacity(static_cast<std::ptrdiff_t>(capacity));
    }

    /// Adds an item unless the ring is full; a refusal is counted.
    [[nodiscard]] bool tryPush(T item)
    {
        if (m_queue.try_push(std::move(item)))
            return true;
        m_refused.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Waits for space. Returns false after close().
    bool push(T item)
    {
        const WaiterCount waiter(m_waiters);
        if (m_closed.load())
            return false;
        try {
            m_queue.push(std::move(item));
            return true;
        } catch (const tbb::user_abort &) {
            return false;
        }
    }

    [[nodiscard]] std::optional<T> tryPop()
    {
        T item;
        if (m_queue.try_pop(item))
            return item;
        return std::nullopt;
    }

    /// Waits for an item. Returns nothing after close().
    [[nodiscard]] std::optional<T> pop()
    {
        const WaiterCount waiter(m_waiters);
        if (m_closed.load())
            return tryPop();
        try {
            T item;
            m_queue.pop(item);
            return item;
        } catch (const tbb::user_abort &) {
            return std::nullopt;
        }
    }

    /// Wakes every waiting thread.
    void close()
    {
        m_closed.store(true);
        // abort() wakes only threads that already wait, so it is repeated until none is left that
        // read m_closed before it was set.
        while (m_waiters.load() > 0) {
            m_queue.abort();
            std::this_thread::yield();
        }
    }

    [[nodiscard]] bool closed() const noexcept { return m_closed.load(); }
    [[nodiscard]] std::int64_t size() const { return m_queue.size(); }
    [[nodiscard]] std::uint64_t refusedCount() const noexcept { return m_refused.load(); }

private:
    class WaiterCount
    {
    public:
        explicit WaiterCount(std::atomic<int> &count) noexcept
            : m_count(count)
        {
            ++m_count;
        }
        ~WaiterCount() { --m_count; }
        WaiterCount(const WaiterCount &) = delete;
        WaiterCount &operator=(const WaiterCount &) = delete;

    private:
        std::atomic<int> &m_count;
    };

    tbb::concurrent_bounded_queue<T> m_queue;
    std::atomic<bool> m_closed{ false };
    std::atomic<int> m_waiters{ 0 };
    std::atomic<std::uint64_t> m_refused{ 0 };
};

} // namespace cowsliprock
