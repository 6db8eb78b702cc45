#include <standincell/virtualtime.h>

#include <algorithm>

namespace cowsliprock::standincell {

void VirtualTime::after(Duration delay, std::function<void()> action)
{
    const auto due = m_now + std::max(delay, Duration::zero());
    m_events.emplace(std::pair(due, m_sequence++), std::move(action));
}

void VirtualTime::run(Duration time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key().first;
        event.mapped()();
    }
    m_now = end;
}

} // namespace cowsliprock::standincell
