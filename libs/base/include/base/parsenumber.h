#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace cowsliprock {

/// Parses all of \p text as a number. Returns std::nullopt if it is not one or is out of range for
/// T.
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
