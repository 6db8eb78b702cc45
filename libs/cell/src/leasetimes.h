#pragma once

#include <base/time.h>

#include <chrono>

namespace cowsliprock::cell {

/// Factor by which the clocks of two machines may differ in rate, with a margin.
constexpr double clockRateFactor = 1.03;

/// Returns a time that has not passed on any clock before \p time has passed on this one.
[[nodiscard]] constexpr Duration shortened(Duration time) noexcept
{
    return std::chrono::duration_cast<Duration>(time / clockRateFactor);
}

/// A daemon that does not renew its presence for this long is considered dead.
constexpr std::chrono::milliseconds presenceTimeToLive{ 1800 };

/// Time for which a successor promises not to claim a shard.
constexpr std::chrono::milliseconds promiseTime{ 3000 };

/// Maximum time for which promises of successors extend an ownership that the store does not
/// confirm. The owner of a contested shard waits for as long for a quorum of the workers.
constexpr std::chrono::minutes maxOwnershipExtension{ 10 };

/// Time for which the acceptance of an owner's token by a quorum of the workers lets promises
/// extend its ownership. Longer than two long polls of a worker.
constexpr std::chrono::milliseconds workerAcceptanceTime{ 4000 };

} // namespace cowsliprock::cell
