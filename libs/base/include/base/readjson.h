#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace cowsliprock {

using Json = nlohmann::json;

/// Levels of arrays and objects in a document. Copying, comparing and writing a document, and
/// parsing CBOR, are recursive: 100,000 levels overflow the stack of the process.
constexpr std::size_t maxJsonDepth = 64;

/// Upper bound on times that are read. It includes clocks that count from the start of a machine.
constexpr std::chrono::hours maxJsonTime{ 24 * 366 * 100 };

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

/// Reads a number as an integer, for use within readJson(). Throws std::out_of_range if it is out
/// of range for T, unlike Json::get(), which lets it wrap around. A fraction is cut off.
template <std::integral T>
T integerOf(const Json &json)
{
    const auto checked = [](auto number) {
        if (!std::in_range<T>(number))
            throw std::out_of_range("number out of range");
        return static_cast<T>(number);
    };
    if (json.is_number_unsigned())
        return checked(json.get<std::uint64_t>());
    if (json.is_number_integer())
        return checked(json.get<std::int64_t>());
    if (json.is_number_float()) {
        const auto number = json.get<double>();
        const double end = std::ldexp(1.0, std::numeric_limits<T>::digits);
        if (!(number >= static_cast<double>(std::numeric_limits<T>::min()) && number < end))
            throw std::out_of_range("number out of range");
        return static_cast<T>(number);
    }
    return json.get<T>();
}

/// The same for a member of an object, which may be missing.
template <std::integral T>
T integerOr(const Json &object, const char *key, T fallback)
{
    if (!object.is_object())
        throw std::invalid_argument("not an object");
    const auto member = object.find(key);
    return member == object.end() ? fallback : integerOf<T>(*member);
}

/// Reads a time in whole units. Throws std::out_of_range above maxJsonTime, so that it can be added
/// to others.
template <typename Time>
Time timeOf(const Json &json)
{
    constexpr Time last = maxJsonTime;
    const Time time(integerOf<std::int64_t>(json));
    if (time < -last || time > last)
        throw std::out_of_range("time out of range");
    return time;
}

/// Converts a number to an enumerator, for use within readJson(). Throws std::out_of_range if the
/// number is negative or above \p last.
template <typename T>
T enumOf(const Json &json, T last)
{
    const auto number = integerOf<int>(json);
    if (number < 0 || number > static_cast<int>(last))
        throw std::out_of_range("enumerator value out of range");
    return static_cast<T>(number);
}

} // namespace cowsliprock
