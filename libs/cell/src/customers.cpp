#include <cell/customers.h>

#include <utility>

namespace cowsliprock::cell {

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
