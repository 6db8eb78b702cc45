#pragma once

#include <base/id.h>
#include <base/time.h>

#include <deque>
#include <unordered_set>
#include <utility>

namespace cowsliprock::requests {

/// Deduplicates attempts received from peers, so that a duplicated message has no effect.
class AttemptMemory
{
public:
    /// Returns false if the attempt has been seen before.
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
    /// Exceeds the maximum request deadline (25 s) and the longest time for which a peer
    /// connection can delay a message.
    static constexpr Duration retention = std::chrono::seconds(90);

    std::unordered_set<AttemptId> m_known;
    std::deque<std::pair<TimePoint, AttemptId>> m_order;
};

} // namespace cowsliprock::requests
