#pragma once

#include <base/id.h>
#include <base/time.h>

#include <deque>
#include <unordered_set>
#include <utility>

namespace cowsliprock::requests {

/// Remembers the attempts that peers sent, so that a duplicated message has no effect.
class AttemptMemory
{
public:
    /// Returns false if the attempt was seen before.
    [[nodiscard]] bool add(const AttemptId &attempt, TimePoint now)
    {
        if (!m_known.insert(attempt).second)
            return false;
        m_order.emplace_back(now, attempt);
        return true;
    }

    void expire(TimePoint now)
    {
        while (!m_order.empty() && m_order.front().first + retention <= now) {
            m_known.erase(m_order.front().second);
            m_order.pop_front();
        }
    }

private:
    /// Longer than the longest deadline (25 s) and the time for which a connection between peers
    /// can hold back a message.
    static constexpr Duration retention = std::chrono::seconds(90);

    std::unordered_set<AttemptId> m_known;
    std::deque<std::pair<TimePoint, AttemptId>> m_order;
};

} // namespace cowsliprock::requests
