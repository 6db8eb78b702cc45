#include "connectionregistry.h"

namespace cowsliprock {

namespace {

/// An ordinary client has read its response by then.
constexpr std::chrono::milliseconds minWriteTime{ 1000 };

} // namespace

void ConnectionRegistry::enter(Entry &entry, ConnectionPhase phase, TimePoint since,
                               TimePoint deadline)
{
    remove(entry);
    entry.m_phase = phase;
    entry.m_since = since;
    entry.m_deadline = deadline;
    if (deadline != TimePoint::max())
        m_deadlines.emplace(deadline, &entry);
    if (phase != ConnectionPhase::Handling)
        m_evictable.emplace(phase, since, &entry);
}

void ConnectionRegistry::remove(Entry &entry)
{
    m_deadlines.erase({ entry.m_deadline, &entry });
    m_evictable.erase({ entry.m_phase, entry.m_since, &entry });
}

ConnectionRegistry::Entry *ConnectionRegistry::leastUseful(TimePoint now) const
{
    if (m_evictable.empty())
        return nullptr;
    const auto [phase, since, entry] = *m_evictable.begin();
    return phase == ConnectionPhase::Writing && now - since < minWriteTime ? nullptr : entry;
}

std::optional<TimePoint> ConnectionRegistry::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

ConnectionRegistry::Entry *ConnectionRegistry::expired(TimePoint now) const
{
    const auto next = nextDeadline();
    return next && *next <= now ? m_deadlines.begin()->second : nullptr;
}

} // namespace cowsliprock
