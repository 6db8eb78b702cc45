#pragma once

#include <base/id.h>

#include <cstdint>
#include <string>

namespace cowsliprock {

/// One run of a daemon. A daemon that lost its lease goes on under a new incarnation.
struct DaemonIdentity
{
    DaemonName name;
    std::uint64_t incarnation = 0; ///< Unique for each run; larger for later runs of a name.

    auto operator<=>(const DaemonIdentity &) const = default;

    /// "name#incarnation", used in keys of the store and in logs.
    [[nodiscard]] std::string text() const
    {
        return name.value() + "#" + std::to_string(incarnation);
    }
};

/// Place of a daemon or a worker.
struct Location
{
    std::string region;
    std::string dataCentre;
    std::string rack;

    bool operator==(const Location &) const = default;
};

} // namespace cowsliprock
