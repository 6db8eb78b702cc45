#pragma once

#include <standincell/workermodel.h>

#include <cell/model.h>

#include <cstdint>
#include <string>
#include <vector>

/// Documents that the platform and its operator write to the store.
namespace cowsliprock::standincell {

[[nodiscard]] std::string workerKey(const std::string &worker);

/// Label that tells the kind of most workers.
constexpr const char *defaultWorkerKind = "a";

/// Store entry of a worker of the service "s" that listens at \p address.
[[nodiscard]] std::string workerDocument(const WorkerModel &worker, const std::string &address,
                                         bool draining,
                                         const std::string &kind = defaultWorkerKind);

extern const char *const configurationKey;

/// A customer as listed by the operator.
struct CustomerPlan
{
    cell::CustomerSettings settings;
    std::vector<std::string> apiKeys;
};

[[nodiscard]] std::string configurationDocument(std::uint64_t version,
                                                const std::vector<cell::QueueSettings> &queues,
                                                const std::vector<CustomerPlan> &customers = {});

/// Key of the ownership record of the only shard.
extern const char *const ownerKey;

/// Returns the daemon named in a value of ownerKey, or an empty string if the value names none.
[[nodiscard]] std::string ownerName(const std::string &value);

} // namespace cowsliprock::standincell
