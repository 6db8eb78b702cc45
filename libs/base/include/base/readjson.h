#pragma once

#include <nlohmann/json.hpp>

#include <exception>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace cowsliprock {

using Json = nlohmann::json;

/// Levels of arrays and objects in a document. Copying, comparing and writing a document, and
/// parsing CBOR, are recursive: 100,000 levels overflow the stack of the process.
constexpr std::size_t maxJsonDepth = 64;

/// Parses a document from outside the process. The result is discarded (Json::is_discarded()) if
/// the document is malformed or nested more than maxJsonDepth levels deep.
[[nodiscard]] Json parseJson(const std::string &text);
[[nodiscard]] Json parseCbor(const std::string &bytes);

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
    const Json json = parseJson(text);
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
