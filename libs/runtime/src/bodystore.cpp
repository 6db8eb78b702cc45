#include "bodystore.h"

#include <utility>

namespace cowsliprock {

void BodyStore::put(const BodyKey &key, Body body)
{
    auto pointer = std::make_shared<const Body>(std::move(body));
    const std::lock_guard lock(m_mutex);
    m_bodies[key] = std::move(pointer);
}

BodyPointer BodyStore::find(const BodyKey &key) const
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_bodies.find(key); found != m_bodies.end())
        return found->second;
    return nullptr;
}

void BodyStore::remove(const BodyKey &key)
{
    const std::lock_guard lock(m_mutex);
    m_bodies.erase(key);
}

std::size_t BodyStore::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_bodies.size();
}

} // namespace cowsliprock
