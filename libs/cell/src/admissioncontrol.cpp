#include "admissioncontrol.h"

#include <algorithm>

namespace cowsliprock::cell {

namespace {

/// Older hints are ignored: the owner may have changed, or its backlog may have been worked off.
constexpr std::chrono::seconds hintValidity{ 2 };
constexpr std::chrono::seconds minRetryDelay{ 1 };
constexpr std::chrono::seconds maxRetryDelay{ 30 };

} // namespace

void AdmissionControl::hintReceived(std::uint32_t shard, const std::string &customer,
                                    std::optional<Duration> delay, TimePoint now)
{
    if (delay)
        m_hints.insert_or_assign({ shard, customer }, Hint{ *delay, now });
    else
        m_hints.erase({ shard, customer });
}

const AdmissionControl::Hint *
AdmissionControl::recentHint(std::uint32_t shard, const std::string &customer, TimePoint now) const
{
    const auto hint = m_hints.find({ shard, customer });
    return hint == m_hints.end() || now - hint->second.receivedAt > hintValidity ? nullptr
                                                                                 : &hint->second;
}

bool AdmissionControl::refuses(std::uint32_t shard, const CustomerSettings &customer,
                               Duration allowance, std::size_t daemons, TimePoint now)
{
    const auto rate = customer.weight / static_cast<double>(std::max<std::size_t>(daemons, 1));
    auto &bucket =
        m_buckets.try_emplace({ shard, customer.name }, TokenBucket(rate, now)).first->second;
    bucket.setRate(rate, now);
    const bool conforms = bucket.take(now);
    const auto *hint = recentHint(shard, customer.name, now);
    return !conforms && hint != nullptr && hint->delay > allowance;
}

std::chrono::seconds AdmissionControl::retryAfter(std::uint32_t shard, const std::string &customer,
                                                  TimePoint now) const
{
    const auto *hint = recentHint(shard, customer, now);
    if (hint == nullptr)
        return minRetryDelay;
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(hint->delay), minRetryDelay,
                      maxRetryDelay);
}

} // namespace cowsliprock::cell
