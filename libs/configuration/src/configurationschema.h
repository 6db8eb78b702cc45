#pragma once

#include <string_view>

namespace cowsliprock {

/// Embedded text of schemas/configuration.schema.json.
[[nodiscard]] std::string_view configurationSchema() noexcept;

} // namespace cowsliprock
