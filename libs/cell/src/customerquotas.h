#pragma once

#include <cell/customers.h>

#include <base/resources.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace cowsliprock::cell {

/// What the customers of a shard use of their quotas. The empty name stands for work without a
/// customer, which has no quota.
class CustomerQuotas
{
public:
    /// Applies the quotas of a configuration version. Customers that it does not list keep their
    /// last quota.
    void configure(const CustomerDirectory &customers);

    /// \p lasting: the run does not end by itself.
    void runAdded(const std::string &customer, const Resources &held, bool lasting);
    void runRemoved(const std::string &customer, const Resources &held, bool lasting);

    /// Sets upper bounds of what runs unseen on workers that have not reported after a take-over.
    void setUnreported(const std::unordered_map<std::string, Resources> &bounds);

    /// Deducts \p amount from what is available to steps evaluated later.
    void reserve(const std::string &customer, const Resources &amount);
    void releaseReservations() noexcept;

    /// What the customer's runs hold on all workers that may still execute them.
    [[nodiscard]] Resources inUse(const std::string &customer) const;
    /// The quota of the customer; zero components are unlimited.
    [[nodiscard]] Resources quotaOf(const std::string &customer) const;
    /// Number of further tasks, each of which holds \p each, that the quota permits now. While the
    /// use of any resource exceeds the quota, it permits none.
    [[nodiscard]] std::uint32_t availableSlots(const std::string &customer,
                                               const Resources &each) const;
    /// True if \p count tasks fit in the quota once all runs have ended that end by themselves.
    [[nodiscard]] bool fitsBesideLasting(const std::string &customer, const Resources &each,
                                         std::uint32_t count) const;

private:
    struct Account
    {
        std::optional<Resources> quota; ///< Zero components are unlimited.
        Resources used;
        Resources lasting; ///< The part of what is used that lasting runs hold.
        Resources unreported;
        Resources reserved;

        [[nodiscard]] Resources inUse() const noexcept { return used + unreported; }
    };

    /// Number of tasks that the quota permits beside what is taken.
    [[nodiscard]] static std::int64_t slotsBeside(const Account &account, const Resources &taken,
                                                  const Resources &each);
    /// Returns the account of the customer, or null.
    [[nodiscard]] const Account *find(const std::string &customer) const;

    std::unordered_map<std::string, Account> m_accounts;
};

} // namespace cowsliprock::cell
