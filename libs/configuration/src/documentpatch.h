#pragma once

#include <nlohmann/json_fwd.hpp>

namespace cowsliprock {

/// JSON Patch (RFC 6902) between two configuration documents. Elements of the top-level lists are
/// matched by name: nlohmann::json::diff compares lists by index, so that one removed element would
/// rewrite all elements behind it.
[[nodiscard]] nlohmann::json makePatch(const nlohmann::json &from, const nlohmann::json &to);

} // namespace cowsliprock
