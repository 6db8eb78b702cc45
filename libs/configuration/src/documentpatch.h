#pragma once

#include <nlohmann/json_fwd.hpp>

namespace cowsliprock {

/// Computes a JSON Patch (RFC 6902) between two configuration documents. Matches the elements of
/// top-level lists by name: nlohmann::json::diff compares lists by index, so the removal of one
/// element would rewrite all elements after it.
[[nodiscard]] nlohmann::json makePatch(const nlohmann::json &from, const nlohmann::json &to);

} // namespace cowsliprock
