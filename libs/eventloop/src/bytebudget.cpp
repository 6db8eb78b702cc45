#include <eventloop/bytebudget.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace cowsliprock {

namespace {

/// Part of the capacity that is freed at a time. All holders are looked at, so this must not be
/// needed for each read.
constexpr std::size_t reclaimDivisor = 8;

} // namespace

void ByteBudget::update(Holder &holder, std::size_t bytes, TimePoint since, TimePoint now,
                        bool reclaimable)
{
    m_used += bytes;
    m_used -= std::exchange(holder.m_bytes, bytes);
    holder.m_since = since;
    holder.m_reclaimable = reclaimable;
    if (bytes > 0)
        m_holders.insert(&holder);
    else
        m_holders.erase(&holder);
    if (m_used > m_capacity)
        reclaim(now);
}

void ByteBudget::release(Holder &holder) noexcept
{
    m_used -= std::exchange(holder.m_bytes, 0);
    m_holders.erase(&holder);
}

void ByteBudget::reclaim(TimePoint now)
{
    std::vector<std::pair<double, Holder *>> candidates;
    for (auto *holder : m_holders) {
        if (!holder->m_reclaimable)
            continue;
        const std::chrono::duration<double> age =
            now - holder->m_since + std::chrono::milliseconds(1);
        candidates.emplace_back(static_cast<double>(holder->m_bytes) * age.count(), holder);
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    const std::size_t target = m_capacity - m_capacity / reclaimDivisor;
    for (const auto &[product, holder] : candidates) {
        if (m_used <= target)
            return;
        holder->reclaimBytes();
    }
}

} // namespace cowsliprock
