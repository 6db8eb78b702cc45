#pragma once

#include "customershares.h"

#include <cell/customers.h>

#include <base/time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace cowsliprock::cell {

/// Decides whether a daemon refuses a job because its customer exceeds the guaranteed rate and the
/// job would not be served in time. The decision uses hints that the owners of the shards give in
/// their answers; without a recent hint nothing is refused.
class AdmissionControl
{
public:
    /// Records that the customer exceeds its rate in a shard and that its excess work waits for
    /// \p delay; nothing means that it does not exceed its rate.
    void hintReceived(std::uint32_t shard, const std::string &customer,
                      std::optional<Duration> delay, TimePoint now);

    /// True if a job that may wait for \p allowance is to be refused. Each of \p daemons daemons
    /// admits an equal part of the guaranteed rate, so that the owner keeps giving hints.
    [[nodiscard]] bool refuses(std::uint32_t shard, const CustomerSettings &customer,
                               Duration allowance, std::size_t daemons, TimePoint now);

    /// Delay after which a caller whose job is refused now should retry.
    [[nodiscard]] std::chrono::seconds retryAfter(std::uint32_t shard, const std::string &customer,
                                                  TimePoint now) const;

private:
    struct Hint
    {
        Duration delay{};
        TimePoint receivedAt{};
    };

    [[nodiscard]] const Hint *recentHint(std::uint32_t shard, const std::string &customer,
                                         TimePoint now) const;

    std::map<std::pair<std::uint32_t, std::string>, Hint> m_hints;
    std::map<std::pair<std::uint32_t, std::string>, TokenBucket> m_buckets;
};

} // namespace cowsliprock::cell
