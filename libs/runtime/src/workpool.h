#pragma once

#include <base/ring.h>

#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace cowsliprock {

/// A pool of threads that process items from a bounded ring.
template <typename Item>
class WorkPool
{
public:
    /// \p work is called in the pool's threads.
    WorkPool(std::size_t threadCount, std::size_t ringSize, std::function<void(Item &item)> work)
        : m_ring(ringSize)
        , m_work(std::move(work))
    {
        for (std::size_t index = 0; index < threadCount; ++index)
            m_threads.emplace_back([this] { run(); });
    }

    ~WorkPool() { stop(); }
    WorkPool(const WorkPool &) = delete;
    WorkPool &operator=(const WorkPool &) = delete;

    /// Returns false if the ring is full. Thread-safe.
    [[nodiscard]] bool tryAdd(Item item) { return m_ring.tryPush(std::move(item)); }

    /// Closes the ring and waits for the threads.
    void stop()
    {
        m_ring.close();
        for (auto &thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

private:
    void run()
    {
        while (auto item = m_ring.pop())
            m_work(*item);
    }

    BoundedRing<Item> m_ring;
    std::function<void(Item &)> m_work;
    std::vector<std::thread> m_threads;
};

} // namespace cowsliprock
