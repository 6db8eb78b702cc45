#pragma once

#include <string_view>

namespace cowsliprock {

/// The operators' console: one HTML page without outside resources.
[[nodiscard]] std::string_view consolePage() noexcept;

} // namespace cowsliprock
