#include <standinplatform/vmlist.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::standin {

DelayedVmList::DelayedVmList(std::vector<VmEntry> initial, std::chrono::milliseconds delay)
    : m_delay(delay)
{
    m_snapshots.push_back({ std::chrono::steady_clock::now(), std::move(initial) });
}

std::vector<VmEntry> DelayedVmList::visible()
{
    const std::lock_guard guard(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    while (m_snapshots.size() > 1 && m_snapshots[1].visibleFrom <= now)
        m_snapshots.pop_front();
    return m_snapshots.front().entries;
}

void DelayedVmList::put(VmEntry entry)
{
    const std::lock_guard guard(m_mutex);
    std::vector<VmEntry> entries = m_snapshots.back().entries;
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const VmEntry &other) { return other.name == entry.name; });
    if (found == entries.end())
        entries.push_back(std::move(entry));
    else
        *found = std::move(entry);
    publish(std::move(entries));
}

void DelayedVmList::remove(const std::string &name)
{
    const std::lock_guard guard(m_mutex);
    std::vector<VmEntry> entries = m_snapshots.back().entries;
    std::erase_if(entries, [&](const VmEntry &entry) { return entry.name == name; });
    publish(std::move(entries));
}

void DelayedVmList::publish(std::vector<VmEntry> entries)
{
    // Without a delay only the latest snapshot is needed. Discarding the others avoids storing
    // thousands of lists while thousands of VMs register.
    if (m_delay.count() == 0)
        m_snapshots.clear();
    m_snapshots.push_back({ std::chrono::steady_clock::now() + m_delay, std::move(entries) });
}

} // namespace cowsliprock::standin
