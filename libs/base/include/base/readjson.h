#pragma once

#include <nlohmann/json.hpp>

#include <exception>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace cowsliprock {

using Json = nlohmann::json;

/// Calls \p read; nothing if it throws, since the JSON lacks a member, has another type there or a
/// value out of range. The caller reports where the malformed text came from.
template <typename Read>
auto readJson(const Json &json, const Read &read) -> std::optional<decltype(read(json))>
{
    try {
        return read(json);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

/// As readJson(), from text; nothing if that is no JSON object.
template <typename Read>
auto decodeJson(const std::string &text, const Read &read)
    -> std::optional<decltype(read(std::declval<const Json &>()))>
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    return readJson(json, read);
}

/// The enumerator of this number; throws if \p last is below it, for readJson().
template <typename T>
T enumOf(const Json &json, T last)
{
    const int number = json;
    if (number < 0 || number > static_cast<int>(last))
        throw std::out_of_range("unknown number of a kind");
    return static_cast<T>(number);
}

} // namespace cowsliprock
