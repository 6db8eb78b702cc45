#include <standincell/quotachecker.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::standincell {

namespace {

/// Time within which connected daemons apply a new configuration.
constexpr std::chrono::milliseconds configurationDelay{ 4000 };

} // namespace

QuotaChecker::QuotaChecker(std::function<std::uint64_t()> oldestInForce)
    : m_oldestInForce(std::move(oldestInForce))
{ }

void QuotaChecker::configured(std::uint64_t version, const std::vector<CustomerPlan> &customers,
                              TimePoint now)
{
    if (!m_versions.empty())
        m_versions.back().replacedAt = now;
    Version added;
    added.number = version;
    for (const auto &customer : customers)
        added.quotas[customer.settings.name] = customer.settings.quota;
    m_versions.push_back(std::move(added));
}

bool QuotaChecker::allows(const std::string &customer, const Resources &amount,
                          TimePoint ordered) const
{
    const auto oldest = m_oldestInForce();
    return std::any_of(m_versions.begin(), m_versions.end(), [&](const Version &version) {
        const bool inForce = version.number >= oldest || !version.replacedAt
            || ordered - *version.replacedAt <= configurationDelay;
        if (!inForce)
            return false;
        const auto quota = version.quotas.find(customer);
        return quota == version.quotas.end() || cell::fitsQuota(quota->second, amount, 1);
    });
}

} // namespace cowsliprock::standincell
