#include "customershares.h"

#include <algorithm>

namespace cowsliprock::cell {

namespace {

constexpr double defaultWeight = 1.0;
/// Weights are divisors, so that they have to be positive.
constexpr double minWeight = 0.001;
/// Jobs that may arrive at once, as the time in which the bucket collects so many tokens.
constexpr std::chrono::duration<double> burstAllowance{ 2.0 };

double fraction(std::int64_t amount, std::int64_t total) noexcept
{
    return total <= 0 ? 0.0 : static_cast<double>(amount) / static_cast<double>(total);
}

} // namespace

TokenBucket::TokenBucket(double ratePerSecond, TimePoint now)
    : m_rate(std::max(0.0, ratePerSecond))
    , m_tokens(capacity())
    , m_refilledAt(now)
{ }

double TokenBucket::capacity() const noexcept
{
    return std::max(1.0, m_rate * burstAllowance.count());
}

void TokenBucket::refill(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(capacity(), m_tokens + m_rate * std::max(0.0, elapsed.count()));
    m_refilledAt = now;
}

void TokenBucket::setRate(double ratePerSecond, TimePoint now)
{
    refill(now);
    m_rate = std::max(0.0, ratePerSecond);
    m_tokens = std::min(m_tokens, capacity());
}

bool TokenBucket::take(TimePoint now)
{
    refill(now);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

CustomerShares::CustomerShares()
{
    m_accounts.push_back({ {}, defaultWeight, { defaultWeight, {} } });
    m_indexByName.emplace(std::string(), 0);
}

void CustomerShares::configure(const CustomerDirectory &customers, TimePoint now)
{
    m_active = !customers.empty();
    for (const auto &customer : customers.all()) {
        const auto weight = std::max(customer.weight, minWeight);
        const auto [entry, added] = m_indexByName.try_emplace(customer.name, m_accounts.size());
        if (added) {
            m_accounts.push_back({ customer.name, weight, { weight, now } });
        } else if (entry->second != 0) {
            auto &account = m_accounts[entry->second];
            account.weight = weight;
            account.bucket.setRate(weight, now);
        }
    }
}

std::size_t CustomerShares::indexOf(const std::string &customer, TimePoint now)
{
    const auto [entry, added] = m_indexByName.try_emplace(customer, m_accounts.size());
    if (added)
        m_accounts.push_back({ customer, defaultWeight, { defaultWeight, now } });
    return entry->second;
}

const std::string &CustomerShares::nameOf(std::size_t customer) const
{
    return m_accounts.at(customer).name;
}

double CustomerShares::weightOf(std::size_t customer) const
{
    return m_accounts.at(customer).weight;
}

bool CustomerShares::admit(std::size_t customer, TimePoint now)
{
    return customer == 0 || m_accounts.at(customer).bucket.take(now);
}

double CustomerShares::weightedShare(std::size_t customer, const Resources &amount,
                                     const Resources &total) const
{
    const auto dominant = std::max({ fraction(amount.cpuMillis, total.cpuMillis),
                                     fraction(amount.memoryMb, total.memoryMb),
                                     fraction(amount.accelerators, total.accelerators) });
    return dominant / weightOf(customer);
}

void FairOrder::add(std::size_t claim, std::size_t customer, double share)
{
    if (customer >= m_queues.size())
        m_queues.resize(customer + 1);
    auto &queue = m_queues[customer];
    queue.claims.push_back(claim);
    if (queue.claims.size() == 1)
        m_next.push({ share, claim, customer });
}

std::optional<std::size_t> FairOrder::next()
{
    if (m_next.empty())
        return std::nullopt;
    return m_next.top().claim;
}

void FairOrder::served(double added)
{
    const auto first = m_next.top();
    m_next.pop();
    auto &queue = m_queues[first.customer];
    if (++queue.served < queue.claims.size())
        m_next.push({ first.share + added, queue.claims[queue.served], first.customer });
}

} // namespace cowsliprock::cell
