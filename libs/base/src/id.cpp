#include <base/id.h>

#include <xxhash.h>

namespace cowsliprock {

std::uint64_t stableHash(std::string_view text) noexcept
{
    return XXH64(text.data(), text.size(), 0);
}

PartitionId partitionOf(std::string_view name, const std::string &dataCentre,
                        std::uint32_t partitionsPerDataCentre)
{
    return PartitionId(dataCentre + "/"
                       + std::to_string(stableHash(name) % partitionsPerDataCentre));
}

} // namespace cowsliprock
