#pragma once

#include <base/error.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock {

inline constexpr const char *currentKey = "/configuration/current";

/// Key of the change that leads to a version.
[[nodiscard]] std::string changeKey(std::uint64_t version);

/// Identity of one write: "<daemon>#<incarnation>/<number>".
using WriteId = std::string;

struct AcceptedWrite
{
    std::uint64_t version = 0;
    WriteId write;
};

/// A configuration as the store and the daemons hold it.
struct HeldConfiguration
{
    std::uint64_t version = 0;
    std::uint64_t row = 0; ///< Version of the store's row; 0 if the row is absent.
    std::string digest;
    /// The last accepted writes, the newest last. A writer whose reply was lost finds its own write
    /// here even if another version was accepted since.
    std::vector<AcceptedWrite> history;
    nlohmann::json document = nlohmann::json::object();

    [[nodiscard]] bool contains(std::uint64_t acceptedVersion, const WriteId &write) const;
};

/// The step from one version to a later one; in the store always to the next.
struct ChangeRecord
{
    std::uint64_t version = 0;
    std::uint64_t from = 0;
    std::uint64_t row = 0; ///< Of /configuration/current, once accepted.
    bool accepted = false; ///< Until then it is a proposal and may be overwritten.
    std::string digest;    ///< Of the document that results.
    /// The write of each version of this step. All are needed for the history: a step that a daemon
    /// derived from two whole documents may span several versions.
    std::vector<AcceptedWrite> writes;
    nlohmann::json patch; ///< Null if it is too large to be kept.
};

/// Largest patch that is kept; a larger one is replaced by a read of the whole document.
inline constexpr std::size_t maxPatchBytes = 262'144;

[[nodiscard]] std::string documentDigest(const nlohmann::json &document);

/// Adds a write to a history and drops the oldest ones.
void appendWrite(std::vector<AcceptedWrite> &history, AcceptedWrite write);

[[nodiscard]] std::string encodeHeld(const HeldConfiguration &held);
[[nodiscard]] std::string encodeChange(const ChangeRecord &change);

/// Both fail with ErrorKind::Invalid; decodeHeld also if the digest does not match.
[[nodiscard]] Result<HeldConfiguration> decodeHeld(std::string_view text);
[[nodiscard]] Result<ChangeRecord> decodeChange(std::string_view text);

} // namespace cowsliprock
