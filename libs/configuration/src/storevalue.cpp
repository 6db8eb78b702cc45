#include "storevalue.h"

namespace cowsliprock {

StoredState adoptStored(VersionKeeper &versions, std::uint64_t row, const std::string &value,
                        Output &output)
{
    if (value.empty())
        return StoredState::Absent;
    auto stored = decodeConfigurationRecord(value);
    if (!stored) {
        output.count("configuration_unreadable");
        return StoredState::Unreadable;
    }
    stored.value().row = row;
    if (stored.value().version == versions.version()) {
        if (stored.value().digest != versions.record().digest)
            output.count("configuration_digest_conflicts");
        versions.setRow(row);
        return StoredState::Same;
    }
    switch (versions.adopt(std::move(stored.value()))) {
    case VersionKeeper::Outcome::Adopted:
        return StoredState::Newer;
    case VersionKeeper::Outcome::Older:
        output.count("configuration_stale_reads");
        return StoredState::Older;
    default:
        output.count("configuration_unreadable");
        return StoredState::Unreadable;
    }
}

} // namespace cowsliprock
