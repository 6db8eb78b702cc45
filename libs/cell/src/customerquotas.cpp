#include "customerquotas.h"

#include <algorithm>
#include <limits>

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

} // namespace

void CustomerQuotas::configure(const CustomerDirectory &customers)
{
    for (const auto &customer : customers.all())
        m_accounts[customer.name].quota = customer.quota;
}

const CustomerQuotas::Account *CustomerQuotas::find(const std::string &customer) const
{
    const auto entry = m_accounts.find(customer);
    return entry == m_accounts.end() ? nullptr : &entry->second;
}

void CustomerQuotas::runAdded(const std::string &customer, const Resources &held, bool lasting)
{
    if (customer.empty())
        return;
    auto &account = m_accounts[customer];
    account.used += held;
    if (lasting)
        account.lasting += held;
}

void CustomerQuotas::runRemoved(const std::string &customer, const Resources &held, bool lasting)
{
    if (customer.empty())
        return;
    auto &account = m_accounts[customer];
    account.used -= held;
    if (lasting)
        account.lasting -= held;
}

void CustomerQuotas::setUnreported(const std::unordered_map<std::string, Resources> &bounds)
{
    for (auto &[customer, account] : m_accounts)
        account.unreported = {};
    for (const auto &[customer, bound] : bounds)
        m_accounts[customer].unreported = bound;
}

void CustomerQuotas::reserve(const std::string &customer, const Resources &amount)
{
    m_accounts[customer].reserved += amount;
}

void CustomerQuotas::releaseReservations() noexcept
{
    for (auto &[customer, account] : m_accounts)
        account.reserved = {};
}

Resources CustomerQuotas::inUse(const std::string &customer) const
{
    const auto *account = find(customer);
    return account == nullptr ? Resources() : account->inUse();
}

Resources CustomerQuotas::quotaOf(const std::string &customer) const
{
    const auto *account = find(customer);
    return account == nullptr ? Resources() : account->quota.value_or(Resources());
}

std::int64_t CustomerQuotas::slotsBeside(const Account &account, const Resources &taken,
                                         const Resources &each)
{
    const auto &limit = *account.quota;
    return std::min({ slotsOf(limit.cpuMillis, taken.cpuMillis, each.cpuMillis),
                      slotsOf(limit.memoryMb, taken.memoryMb, each.memoryMb),
                      slotsOf(limit.accelerators, taken.accelerators, each.accelerators) });
}

std::uint32_t CustomerQuotas::availableSlots(const std::string &customer,
                                             const Resources &each) const
{
    const auto *account = find(customer);
    if (account == nullptr || !account->quota)
        return unlimitedSlots;
    const auto taken = account->inUse() + account->reserved;
    return static_cast<std::uint32_t>(slotsBeside(*account, taken, each));
}

bool CustomerQuotas::fitsBesideLasting(const std::string &customer, const Resources &each,
                                       std::uint32_t count) const
{
    const auto *account = find(customer);
    return account == nullptr || !account->quota
        || slotsBeside(*account, account->lasting, each) >= count;
}

} // namespace cowsliprock::cell
