#pragma once

#include <standincell/workermodel.h>

#include <cell/model.h>

#include <cstdint>
#include <string>
#include <vector>

/// What the platform and its operator write into the store.
namespace cowsliprock::standincell {

[[nodiscard]] std::string workerKey(const std::string &worker);

/// Entry of a worker of the service "s", reached at \p address.
[[nodiscard]] std::string workerDocument(const WorkerModel &worker, const std::string &address,
                                         bool draining);

extern const char *const configurationKey;

[[nodiscard]] std::string configurationDocument(std::uint64_t version,
                                                const std::vector<cell::QueueSettings> &queues);

/// Key under which the owner of the only shard stands.
extern const char *const ownerKey;

/// Name of the daemon in the value of ownerKey; empty if there is none.
[[nodiscard]] std::string ownerName(const std::string &value);

} // namespace cowsliprock::standincell
