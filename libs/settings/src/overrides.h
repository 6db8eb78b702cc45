#pragma once

#include <schema/documentcheck.h>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace cowsliprock {

/// Applies "key=value" overrides to a settings document. Returns an error for each invalid
/// override.
[[nodiscard]] std::vector<DocumentError> applyOverrides(nlohmann::json &document,
                                                        const std::vector<std::string> &overrides);

} // namespace cowsliprock
