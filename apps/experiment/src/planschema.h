#pragma once

#include <string_view>

namespace cowsliprock {

/// JSON Schema of an experiment's plan.
[[nodiscard]] std::string_view planSchema() noexcept;

} // namespace cowsliprock
