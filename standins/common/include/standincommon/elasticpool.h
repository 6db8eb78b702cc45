#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cowsliprock::standin {

/// Threads that serve the connections of any number of HTTP servers. A thread is added only when
/// all are busy, because a server holds a thread for as long as a connection is kept open.
class ElasticPool
{
public:
    explicit ElasticPool(std::size_t maxThreads);
    ~ElasticPool();
    ElasticPool(const ElasticPool &) = delete;
    ElasticPool &operator=(const ElasticPool &) = delete;

    void enqueue(std::function<void()> work);
    [[nodiscard]] std::size_t threadCount() const;

private:
    void run();

    const std::size_t m_maxThreads;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_queue;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

/// The part of a pool's work that belongs to one server.
class PoolTaskQueue : public httplib::TaskQueue
{
public:
    explicit PoolTaskQueue(ElasticPool &pool)
        : m_pool(pool)
    { }
    void enqueue(std::function<void()> work) override;
    void shutdown() override;

private:
    ElasticPool &m_pool;
    std::mutex m_mutex;
    std::condition_variable m_finished;
    std::size_t m_unfinished = 0;
};

} // namespace cowsliprock::standin
