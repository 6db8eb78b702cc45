#include <cell/customers.h>

#include <utility>

namespace cowsliprock::cell {

bool fitsQuota(const Resources &quota, const Resources &each, std::uint32_t count) noexcept
{
    // Divides the quota, since the product may exceed the range of the numbers.
    const auto fits = [count](std::int64_t limit, std::int64_t amount) {
        return limit <= 0 || count == 0 || amount <= limit / count;
    };
    return fits(quota.cpuMillis, each.cpuMillis) && fits(quota.memoryMb, each.memoryMb)
        && fits(quota.accelerators, each.accelerators);
}

void CustomerDirectory::add(CustomerSettings settings, const std::vector<std::string> &apiKeys)
{
    const auto index = m_customers.size();
    for (const auto &key : apiKeys)
        m_indexByKey.try_emplace(key, index);
    m_indexByName.try_emplace(settings.name, index);
    m_customers.push_back(std::move(settings));
}

const CustomerSettings *CustomerDirectory::find(const std::string &name) const
{
    const auto entry = m_indexByName.find(name);
    return entry == m_indexByName.end() ? nullptr : &m_customers[entry->second];
}

const CustomerSettings *CustomerDirectory::findByKey(const std::string &apiKey) const
{
    const auto entry = m_indexByKey.find(apiKey);
    return entry == m_indexByKey.end() ? nullptr : &m_customers[entry->second];
}

} // namespace cowsliprock::cell
