#pragma once

#include <cell/customers.h>

#include <base/resources.h>
#include <base/time.h>

#include <compare>
#include <cstddef>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

/// Token bucket that is refilled continuously and starts full.
class TokenBucket
{
public:
    TokenBucket(double ratePerSecond, TimePoint now);

    /// Changes the rate; the tokens collected so far are kept up to the new capacity.
    void setRate(double ratePerSecond, TimePoint now);
    /// Takes a token; false if there is none.
    bool take(TimePoint now);

private:
    void refill(TimePoint now);
    [[nodiscard]] double capacity() const noexcept;

    double m_rate = 0;
    double m_tokens = 0;
    TimePoint m_refilledAt{};
};

/// Weights and guaranteed rates of the customers of a shard. Index 0 stands for work without a
/// customer, which always conforms and has the default weight.
class CustomerShares
{
public:
    CustomerShares();

    /// Applies the weights of a configuration version. Customers that it does not list keep their
    /// last weight.
    void configure(const CustomerDirectory &customers, TimePoint now);

    /// True if the current configuration lists customers, so that shares apply.
    [[nodiscard]] bool active() const noexcept { return m_active; }
    /// Number of the customer, which stays the same as long as this object exists.
    [[nodiscard]] std::size_t indexOf(const std::string &customer, TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return m_accounts.size(); }
    [[nodiscard]] const std::string &nameOf(std::size_t customer) const;
    [[nodiscard]] double weightOf(std::size_t customer) const;

    /// Counts an accepted job; false if it exceeds the guaranteed rate of the customer.
    bool admit(std::size_t customer, TimePoint now);

    /// Largest fraction of any resource of \p total that \p amount takes, divided by the weight of
    /// the customer.
    [[nodiscard]] double weightedShare(std::size_t customer, const Resources &amount,
                                       const Resources &total) const;

private:
    struct Account
    {
        std::string name;
        double weight;
        TokenBucket bucket;
    };

    bool m_active = false;
    std::vector<Account> m_accounts;
    std::unordered_map<std::string, std::size_t> m_indexByName;
};

/// Order in which claims of equal urgency are served: next comes the first claim of the customer
/// with the lowest share, which includes its claims served before. A claim costs little until it is
/// served, since a pass over a long backlog serves only a few.
class FairOrder
{
public:
    /// Adds a claim, in order of arrival. \p share is what the customer uses now.
    void add(std::size_t claim, std::size_t customer, double share);
    /// The claim to be served next, or nothing.
    [[nodiscard]] std::optional<std::size_t> next();
    /// Removes the next claim, which adds \p added to the share of its customer.
    void served(double added);

private:
    struct Queue
    {
        std::vector<std::size_t> claims;
        std::size_t served = 0;
    };
    /// Claims of customers with equal shares keep their order.
    struct First
    {
        double share = 0;
        std::size_t claim = 0;
        std::size_t customer = 0;

        auto operator<=>(const First &) const = default;
    };

    std::vector<Queue> m_queues; ///< By customer.
    std::priority_queue<First, std::vector<First>, std::greater<>> m_next;
};

} // namespace cowsliprock::cell
