#pragma once

#include "versionkeeper.h"

#include <kernel/stage.h>

namespace cowsliprock {

/// Names the store calls of this stage.
class CallSequence
{
public:
    [[nodiscard]] CallId next() { return CallId("configuration-" + std::to_string(++m_last)); }

private:
    std::uint64_t m_last = 0;
};

/// What a value of /configuration/current says, compared with the version in force.
enum class StoredState {
    Newer, ///< It is in force now.
    Same,
    Older, ///< A stale read, or a store that was set back; nothing changes.
    Absent,
    Unreadable
};

/// Takes over a value of /configuration/current unless it is older than the version in force.
StoredState adoptStored(VersionKeeper &versions, std::uint64_t row, const std::string &value,
                        Output &output);

} // namespace cowsliprock
