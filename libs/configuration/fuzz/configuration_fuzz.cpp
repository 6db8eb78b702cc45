#include <configuration/document.h>

#include "../src/versionkeeper.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// Fuzzes documents as submitted by operators, and change records and whole configurations as
/// received from peers and the store. No input may crash a daemon, and an accepted document must
/// satisfy the semantic constraints.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cowsliprock;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto result = parseConfiguration(text, { { "noord" } });
    if (const auto *configuration = std::get_if<Configuration>(&result)) {
        for (const auto &service : configuration->services) {
            if (service.slots == 0 || service.slots > service.connections)
                std::abort();
        }
    }
    (void)parseSubmittedJob(text);

    VersionKeeper versions;
    versions.adopt(message::ConfigurationPush{ 0, 1, { std::string(text) } });
    versions.adopt(message::ConfigurationPush{ 1, 2, { std::string(text) } });
    if (const auto change = decodeChange(text))
        versions.adopt(change.value());
    (void)versions.pushSince(versions.version());
    return 0;
}
