#include <standincommon/elasticpool.h>

#include <utility>

namespace cowsliprock::standin {

ElasticThreadPool::ElasticThreadPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{ }

ElasticThreadPool::~ElasticThreadPool()
{
    {
        const std::lock_guard guard(m_mutex);
        m_stopping = true;
    }
    m_workAvailable.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void ElasticThreadPool::enqueue(std::function<void()> work)
{
    {
        const std::lock_guard guard(m_mutex);
        m_queue.push_back(std::move(work));
        if (m_queue.size() > m_idle && m_threads.size() < m_maxThreads)
            m_threads.emplace_back([this] { processQueue(); });
    }
    m_workAvailable.notify_one();
}

std::size_t ElasticThreadPool::threadCount() const
{
    const std::lock_guard guard(m_mutex);
    return m_threads.size();
}

void ElasticThreadPool::processQueue()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_workAvailable.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        --m_idle;
        if (m_queue.empty())
            return;
        const std::function<void()> work = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        work();
        lock.lock();
    }
}

void PoolTaskQueue::enqueue(std::function<void()> work)
{
    {
        const std::lock_guard guard(m_mutex);
        ++m_unfinished;
    }
    m_pool.enqueue([this, work = std::move(work)] {
        work();
        const std::lock_guard guard(m_mutex);
        if (--m_unfinished == 0)
            m_finished.notify_all();
    });
}

void PoolTaskQueue::shutdown()
{
    std::unique_lock lock(m_mutex);
    m_finished.wait(lock, [this] { return m_unfinished == 0; });
}

} // namespace cowsliprock::standin
