#pragma once

#include <base/id.h>

#include <cstdint>
#include <string>

namespace cowsliprock {

/// Identifies one run of a daemon. A daemon that loses its lease continues with a new incarnation.
struct DaemonIdentity
{
    DaemonName name;
    std::uint64_t incarnation = 0; ///< Unique per run; larger for later runs of the same name.

    auto operator<=>(const DaemonIdentity &) const = default;

    /// Returns "name#incarnation", used in store keys and logs.
    [[nodiscard]] std::string text() const
    {
        return name.value() + "#" + std::to_string(incarnation);
    }
};

/// Location of a daemon or worker in the network topology.
struct Location
{
    std::string region;
    std::string dataCentre;
    std::string rack;

    bool operator==(const Location &) const = default;
};

} // namespace cowsliprock
