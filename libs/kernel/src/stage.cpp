#include <kernel/stage.h>

#include <algorithm>

namespace cowsliprock {

StageRegistry &StageRegistry::instance()
{
    static StageRegistry registry;
    return registry;
}

void StageRegistry::add(Entry entry)
{
    const auto precedes = [](const Entry &left, const Entry &right) {
        return std::pair(left.rank, left.name) < std::pair(right.rank, right.name);
    };
    const auto position = std::upper_bound(m_entries.begin(), m_entries.end(), entry, precedes);
    m_entries.insert(position, std::move(entry));
}

} // namespace cowsliprock
