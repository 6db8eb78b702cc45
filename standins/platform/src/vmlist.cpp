#include <standinplatform/vmlist.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::standin {

LaggingVmList::LaggingVmList(std::vector<VmEntry> initial, std::chrono::milliseconds lag)
    : m_lag(lag)
{
    m_snapshots.push_back({ std::chrono::steady_clock::now(), std::move(initial) });
}

std::vector<VmEntry> LaggingVmList::visible()
{
    const std::lock_guard guard(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    while (m_snapshots.size() > 1 && m_snapshots[1].visibleFrom <= now)
        m_snapshots.pop_front();
    return m_snapshots.front().entries;
}

void LaggingVmList::put(VmEntry entry)
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

void LaggingVmList::remove(const std::string &name)
{
    const std::lock_guard guard(m_mutex);
    std::vector<VmEntry> entries = m_snapshots.back().entries;
    std::erase_if(entries, [&](const VmEntry &entry) { return entry.name == name; });
    publish(std::move(entries));
}

void LaggingVmList::publish(std::vector<VmEntry> entries)
{
    // Without a lag, only the last snapshot matters; this keeps the registration of thousands of
    // VMs from storing as many lists.
    if (m_lag.count() == 0)
        m_snapshots.clear();
    m_snapshots.push_back({ std::chrono::steady_clock::now() + m_lag, std::move(entries) });
}

} // namespace cowsliprock::standin
