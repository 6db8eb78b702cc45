#pragma once

#include <string_view>

namespace cowsliprock {

/// Text of schemas/settings.schema.json.
[[nodiscard]] std::string_view settingsSchema() noexcept;

} // namespace cowsliprock
