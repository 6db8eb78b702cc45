#pragma once

#include <base/resources.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

/// True if \p count tasks of \p each fit in the quota, whose zero components are unlimited.
[[nodiscard]] bool fitsQuota(const Resources &quota, const Resources &each,
                             std::uint32_t count) noexcept;

/// Configuration of one customer.
struct CustomerSettings
{
    std::string name;
    double weight = 1.0; ///< Share under full load, and guaranteed rate in jobs per second.
    Resources quota;     ///< Maximum in use at the same time; 0 means unlimited.
};

/// The customers of one configuration version, indexed by their API keys. Keys cannot be listed, so
/// that they do not reach logs, metrics or records.
class CustomerDirectory
{
public:
    /// Adds a customer that is identified by any of \p apiKeys. A key that several customers list
    /// identifies the first one.
    void add(CustomerSettings settings, const std::vector<std::string> &apiKeys);

    [[nodiscard]] bool empty() const noexcept { return m_customers.empty(); }
    [[nodiscard]] const std::vector<CustomerSettings> &all() const noexcept { return m_customers; }
    /// Returns the customer, or null.
    [[nodiscard]] const CustomerSettings *find(const std::string &name) const;
    /// Returns the customer identified by the key, or null.
    [[nodiscard]] const CustomerSettings *findByKey(const std::string &apiKey) const;

private:
    std::vector<CustomerSettings> m_customers;
    std::unordered_map<std::string, std::size_t> m_indexByName;
    std::unordered_map<std::string, std::size_t> m_indexByKey;
};

} // namespace cowsliprock::cell
