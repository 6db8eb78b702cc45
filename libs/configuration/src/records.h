#pragma once

#include <base/error.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock {

inline constexpr const char *currentKey = "/configuration/current";

/// Store key of the change record that leads to a version.
[[nodiscard]] std::string changeKey(std::uint64_t version);

/// Identifies one write: "<daemon>#<incarnation>/<number>".
using WriteId = std::string;

struct AcceptedWrite
{
    std::uint64_t version = 0;
    WriteId write;
};

/// A configuration with its metadata, as persisted in the store and retained by the daemons.
struct ConfigurationRecord
{
    std::uint64_t version = 0;
    std::uint64_t row = 0; ///< Row version in the store; 0 if the row does not exist.
    std::string digest;
    /// The most recent accepted writes, newest last. A writer whose reply was lost finds its own
    /// write here even if another version has been accepted since.
    std::vector<AcceptedWrite> history;
    nlohmann::json document = nlohmann::json::object();

    [[nodiscard]] bool contains(std::uint64_t acceptedVersion, const WriteId &write) const;
};

/// The change from one version to a later one. In the store it always leads to the next version.
struct ChangeRecord
{
    std::uint64_t version = 0;
    std::uint64_t from = 0;
    std::uint64_t row = 0; ///< Row version of /configuration/current, once accepted.
    bool accepted = false; ///< If false, this is a proposal and may be overwritten.
    std::string digest;    ///< Digest of the resulting document.
    /// The writes of all versions that this change spans, as needed for the history. A change that
    /// a daemon derived from two whole documents may span several versions.
    std::vector<AcceptedWrite> writes;
    nlohmann::json patch; ///< Null if it exceeds maxPatchBytes.
};

/// Size limit of stored patches; for larger changes the whole document is read instead.
inline constexpr std::size_t maxPatchBytes = 262'144;

[[nodiscard]] std::string documentDigest(const nlohmann::json &document);

/// Appends a write to a history and discards the oldest entries beyond the length limit.
void appendWrite(std::vector<AcceptedWrite> &history, AcceptedWrite write);

[[nodiscard]] std::string encodeConfigurationRecord(const ConfigurationRecord &record);
[[nodiscard]] std::string encodeChange(const ChangeRecord &change);

/// Both fail with ErrorKind::Invalid on malformed input; decodeConfigurationRecord also on a digest
/// mismatch.
[[nodiscard]] Result<ConfigurationRecord> decodeConfigurationRecord(std::string_view text);
[[nodiscard]] Result<ChangeRecord> decodeChange(std::string_view text);

} // namespace cowsliprock
