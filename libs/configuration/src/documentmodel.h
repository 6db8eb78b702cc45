#pragma once

#include <configuration/document.h>

#include <nlohmann/json_fwd.hpp>

namespace cowsliprock {

/// Converts a previously accepted document. Ignores unknown members, which a newer release may have
/// written. Throws nlohmann::json::exception if a member has an unexpected type.
[[nodiscard]] Configuration toConfiguration(const nlohmann::json &document);

/// Validates a document returned by parseDocument: first against the schema, then semantically.
[[nodiscard]] std::vector<DocumentError> checkConfiguration(const nlohmann::json &document,
                                                            const ConfigurationContext &context);

} // namespace cowsliprock
