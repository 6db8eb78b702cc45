#include "customerquotas.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr std::int64_t unlimitedSlots = std::numeric_limits<std::int32_t>::max();

std::int64_t slotsOf(std::int64_t quota, std::int64_t inUse, std::int64_t each) noexcept
{
    if (quota <= 0)
        return unlimitedSlots;
    if (inUse > quota)
        return 0;
    return each <= 0 ? unlimitedSlots : std::min(unlimitedSlots, (quota - inUse) / each);
}

Resources amountOf(const std::unordered_map<std::string, Resources> &amounts,
                   const std::string &customer)
{
    const auto entry = amounts.find(customer);
    return entry == amounts.end() ? Resources() : entry->second;
}

} // namespace

void CustomerQuotas::configure(const CustomerDirectory &customers)
{
    for (const auto &customer : customers.all())
        m_quotas.insert_or_assign(customer.name, customer.quota);
}

void CustomerQuotas::runAdded(const std::string &customer, const Resources &held)
{
    if (!customer.empty())
        m_used[customer] += held;
}

void CustomerQuotas::runRemoved(const std::string &customer, const Resources &held)
{
    if (!customer.empty())
        m_used[customer] -= held;
}

void CustomerQuotas::setUnreported(std::unordered_map<std::string, Resources> bounds)
{
    m_unreported = std::move(bounds);
}

void CustomerQuotas::reserve(const std::string &customer, const Resources &amount)
{
    m_reserved[customer] += amount;
}

Resources CustomerQuotas::inUse(const std::string &customer) const
{
    return amountOf(m_used, customer) + amountOf(m_unreported, customer);
}

Resources CustomerQuotas::quotaOf(const std::string &customer) const
{
    return amountOf(m_quotas, customer);
}

std::uint32_t CustomerQuotas::availableSlots(const std::string &customer,
                                             const Resources &each) const
{
    const auto quota = m_quotas.find(customer);
    if (quota == m_quotas.end())
        return unlimitedSlots;
    const auto taken = inUse(customer) + amountOf(m_reserved, customer);
    const auto &limit = quota->second;
    return static_cast<std::uint32_t>(
        std::min({ slotsOf(limit.cpuMillis, taken.cpuMillis, each.cpuMillis),
                   slotsOf(limit.memoryMb, taken.memoryMb, each.memoryMb),
                   slotsOf(limit.accelerators, taken.accelerators, each.accelerators) }));
}

bool CustomerQuotas::canEverFit(const std::string &customer, const Resources &each,
                                std::uint32_t count) const
{
    const auto quota = m_quotas.find(customer);
    return quota == m_quotas.end() || fitsQuota(quota->second, each, count);
}

} // namespace cowsliprock::cell
