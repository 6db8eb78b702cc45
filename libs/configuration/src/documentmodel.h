#pragma once

#include <configuration/document.h>

#include <nlohmann/json_fwd.hpp>

namespace cowsliprock {

/// Reads a document that was accepted before. Unknown members, as a newer release may write them,
/// are ignored. Throws nlohmann::json::exception on members of another type.
[[nodiscard]] Configuration toConfiguration(const nlohmann::json &document);

/// Checks a document that parseDocument accepted: schema first, then references and amounts.
[[nodiscard]] std::vector<DocumentError> checkConfiguration(const nlohmann::json &document,
                                                            const ConfigurationContext &context);

} // namespace cowsliprock
