#pragma once

#include <cell/model.h>

#include <functional>
#include <optional>
#include <string>

namespace cowsliprock::cell {

/// Store keys and decoders of the records that the platform publishes. A decoder returns nullopt
/// for a malformed entry.
struct PlatformRecords
{
    std::string workersPrefix;
    std::function<std::optional<WorkerEntry>(const std::string &key, const std::string &value)>
        decodeWorker;
    std::function<std::string(const std::string &key)> workerOfKey;

    std::string configurationPrefix;
    std::string configurationKey;
    std::function<std::optional<CellConfiguration>(const std::string &value)> decodeConfiguration;
};

} // namespace cowsliprock::cell
