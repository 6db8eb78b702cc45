#pragma once

#include <nlohmann/json.hpp>

#include <exception>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace cowsliprock {

using Json = nlohmann::json;

/// Returns the result of \p read, or std::nullopt if it throws because a member is missing, has the
/// wrong type or is out of range. The caller reports the source of the malformed JSON.
template <typename Read>
auto readJson(const Json &json, const Read &read) -> std::optional<decltype(read(json))>
{
    try {
        return read(json);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

/// Like readJson(), from text. Returns std::nullopt if \p text is not a JSON object.
template <typename Read>
auto decodeJson(const std::string &text, const Read &read)
    -> std::optional<decltype(read(std::declval<const Json &>()))>
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    return readJson(json, read);
}

/// Converts a number to an enumerator, for use within readJson(). Throws std::out_of_range if the
/// number is negative or above \p last.
template <typename T>
T enumOf(const Json &json, T last)
{
    const int number = json;
    if (number < 0 || number > static_cast<int>(last))
        throw std::out_of_range("enumerator value out of range");
    return static_cast<T>(number);
}

} // namespace cowsliprock
