#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace cowsliprock {

/// The number that \p text is; nothing if it is anything else or does not fit the type.
template <typename T>
[[nodiscard]] std::optional<T> parseNumber(std::string_view text) noexcept
{
    T number{};
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || last != end)
        return std::nullopt;
    return number;
}

} // namespace cowsliprock
