#pragma once

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <thread>
#include <utility>

namespace cowsliprock {

/// Bounded queue for passing items between threads. All members are thread-safe.
template <typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
    {
        m_queue.set_capacity(static_cast<std::ptrdiff_t>(capacity));
    }

    /// Adds an item without blocking. Returns false and counts the refusal if the ring is full.
    [[nodiscard]] bool tryPush(T item)
    {
        if (m_queue.try_push(std::move(item)))
            return true;
        m_refused.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Blocks until the item has been added. Returns false if the ring is closed.
    bool push(T item)
    {
        const WaiterGuard waiterGuard(m_waiters);
        if (m_closed.load())
            return false;
        try {
            m_queue.push(std::move(item));
            return true;
        } catch (const tbb::user_abort &) {
            return false;
        }
    }

    /// Removes an item without blocking. Returns std::nullopt if the ring is empty.
    [[nodiscard]] std::optional<T> tryPop()
    {
        T item;
        if (m_queue.try_pop(item))
            return item;
        return std::nullopt;
    }

    /// Blocks until an item is available. After close(), behaves like tryPop().
    [[nodiscard]] std::optional<T> pop()
    {
        const WaiterGuard waiterGuard(m_waiters);
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

    /// Closes the ring and wakes all threads that are blocked in push() or pop().
    void close()
    {
        m_closed.store(true);
        // abort() wakes only threads that are already blocked, so it is repeated until no thread
        // remains that read m_closed before it was set.
        while (m_waiters.load() > 0) {
            m_queue.abort();
            std::this_thread::yield();
        }
    }

    [[nodiscard]] bool closed() const noexcept { return m_closed.load(); }
    /// Number of items minus the number of threads blocked in pop(); negative while threads wait
    /// for items.
    [[nodiscard]] std::int64_t size() const { return m_queue.size(); }
    /// Number of items that tryPush() has refused.
    [[nodiscard]] std::uint64_t refusedCount() const noexcept { return m_refused.load(); }

private:
    /// Counts the current thread as a waiter during its lifetime.
    class WaiterGuard
    {
    public:
        explicit WaiterGuard(std::atomic<int> &count) noexcept
            : m_count(count)
        {
            ++m_count;
        }
        ~WaiterGuard() { --m_count; }
        WaiterGuard(const WaiterGuard &) = delete;
        WaiterGuard &operator=(const WaiterGuard &) = delete;

    private:
        std::atomic<int> &m_count;
    };

    tbb::concurrent_bounded_queue<T> m_queue;
    std::atomic<bool> m_closed{ false };
    std::atomic<int> m_waiters{ 0 };
    std::atomic<std::uint64_t> m_refused{ 0 };
};

} // namespace cowsliprock
