#pragma once

#include "versionkeeper.h"

#include <kernel/stage.h>

namespace cowsliprock {

/// Generates the identifiers of this stage's store calls.
class CallSequence
{
public:
    [[nodiscard]] CallId next() { return CallId("configuration-" + std::to_string(++m_last)); }

private:
    std::uint64_t m_last = 0;
};

/// How a value of /configuration/current compares with the version in force.
enum class StoredState {
    Newer, ///< The stored version has been adopted and is now in force.
    Same,
    Older, ///< A stale read or a rolled-back store; the version in force is retained.
    Absent,
    Unreadable
};

/// Adopts a value of /configuration/current unless it is older than the version in force.
StoredState adoptStored(VersionKeeper &versions, std::uint64_t row, const std::string &value,
                        Output &output);

} // namespace cowsliprock
