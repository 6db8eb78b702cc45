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

/// Thread pool shared by any number of HTTP servers. A server occupies a thread for as long as a
/// connection is open, so the pool adds threads on demand, only when all are busy.
class ElasticThreadPool
{
public:
    explicit ElasticThreadPool(std::size_t maxThreads);
    ~ElasticThreadPool();
    ElasticThreadPool(const ElasticThreadPool &) = delete;
    ElasticThreadPool &operator=(const ElasticThreadPool &) = delete;

    void enqueue(std::function<void()> work);
    [[nodiscard]] std::size_t threadCount() const;

private:
    void processQueue();

    const std::size_t m_maxThreads;
    mutable std::mutex m_mutex;
    std::condition_variable m_workAvailable;
    std::deque<std::function<void()>> m_queue;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

/// Task queue of one server, executed by a shared pool.
class PoolTaskQueue : public httplib::TaskQueue
{
public:
    explicit PoolTaskQueue(ElasticThreadPool &pool)
        : m_pool(pool)
    { }
    void enqueue(std::function<void()> work) override;
    void shutdown() override;

private:
    ElasticThreadPool &m_pool;
    std::mutex m_mutex;
    std::condition_variable m_finished;
    std::size_t m_unfinished = 0;
};

} // namespace cowsliprock::standin
