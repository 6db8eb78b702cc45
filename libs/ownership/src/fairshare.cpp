#include "partitions.h"

#include <algorithm>

namespace cowsliprock::ownership {

FairShare::FairShare(std::vector<DaemonName> daemons, std::size_t partitionCount)
    : m_daemons(std::move(daemons))
    , m_partitionCount(partitionCount)
{
    std::sort(m_daemons.begin(), m_daemons.end());
}

std::size_t FairShare::rankOf(const DaemonName &name) const
{
    const auto found = std::lower_bound(m_daemons.begin(), m_daemons.end(), name);
    return static_cast<std::size_t>(found - m_daemons.begin());
}

std::size_t FairShare::partitionsFor(const DaemonName &name) const
{
    const std::size_t count = m_daemons.size();
    if (!std::binary_search(m_daemons.begin(), m_daemons.end(), name))
        return 0;
    return m_partitionCount / count + (rankOf(name) < m_partitionCount % count ? 1 : 0);
}

std::size_t FairShare::firstPartitionFor(const DaemonName &name) const
{
    if (m_daemons.empty())
        return 0;
    const std::size_t rank = rankOf(name);
    return rank * (m_partitionCount / m_daemons.size())
        + std::min(rank, m_partitionCount % m_daemons.size());
}

} // namespace cowsliprock::ownership
