#include "overrides.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace cowsliprock {

namespace {

using nlohmann::json;

/// Finds an array element by index or by its member "name". Returns null if there is none.
[[nodiscard]] json *listElement(json &list, const std::string &key)
{
    std::size_t index = 0;
    const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), index);
    if (error == std::errc() && end == key.data() + key.size())
        return index < list.size() ? &list[index] : nullptr;
    const auto named = std::find_if(list.begin(), list.end(), [&](const json &element) {
        return element.is_object() && element.value("name", json()) == key;
    });
    return named != list.end() ? &*named : nullptr;
}

[[nodiscard]] json overrideValue(const json &present, const std::string &text)
{
    if (present.is_string() && !text.starts_with('"'))
        return text;
    const json parsed = json::parse(text, nullptr, false);
    return parsed.is_discarded() ? json(text) : parsed;
}

[[nodiscard]] bool applyOverride(json &document, const std::string &path, const std::string &value)
{
    json *node = &document;
    for (std::size_t start = 0; start <= path.size();) {
        const auto end = std::min(path.find('.', start), path.size());
        const std::string key = path.substr(start, end - start);
        start = end + 1;
        if (node->is_array())
            node = listElement(*node, key);
        else if (node->is_object() && !key.empty())
            node = &(*node)[key];
        else
            return false;
        if (!node)
            return false;
    }
    *node = overrideValue(*node, value);
    return true;
}

} // namespace

std::vector<DocumentError> applyOverrides(nlohmann::json &document,
                                          const std::vector<std::string> &overrides)
{
    std::vector<DocumentError> errors;
    for (const std::string &text : overrides) {
        const auto separator = text.find('=');
        if (separator == std::string::npos
            || !applyOverride(document, text.substr(0, separator), text.substr(separator + 1)))
            errors.push_back({ "--set " + text,
                               "no such setting; must be key=value with a key like logLevel or "
                               "daemons.noord-1.httpAddress" });
    }
    return errors;
}

} // namespace cowsliprock
