#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <utility>

namespace cowsliprock::cell {

using Json = nlohmann::json;

/// Calls \p read on the parsed object; nothing if parsing or reading fails. The caller logs where
/// the text came from.
template <typename Read>
auto decodeWith(const std::string &text, const Read &read)
    -> std::optional<decltype(read(std::declval<const Json &>()))>
{
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    try {
        return read(document);
    } catch (const Json::exception &) {
        // A member is missing or has another type.
        return std::nullopt;
    }
}

} // namespace cowsliprock::cell
