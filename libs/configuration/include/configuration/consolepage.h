#pragma once

#include <string_view>

namespace cowsliprock {

/// The operator console: a single HTML page that loads no external resources.
[[nodiscard]] std::string_view consolePage() noexcept;

} // namespace cowsliprock
