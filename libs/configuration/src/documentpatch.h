#pragma once

#include <nlohmann/json_fwd.hpp>

namespace cowsliprock {

/// JSON Patch (RFC 6902) between two configuration documents. Equal elements at the start and the
/// end of each top-level list are left out first: nlohmann::json::diff compares lists by index, so
/// that one removed element would otherwise replace all elements behind it.
[[nodiscard]] nlohmann::json makePatch(const nlohmann::json &from, const nlohmann::json &to);

} // namespace cowsliprock
