#pragma once

#include "jsonmodel.h"

#include <stdexcept>
#include <string>
#include <variant>

namespace cowsliprock {

/// Converts \p data to the alternative of \p Variant named \p name.
template <typename Variant, std::size_t Index = 0>
Variant alternativeFromJson(const std::string &name, const nlohmann::json &data)
{
    if constexpr (Index == std::variant_size_v<Variant>) {
        throw std::invalid_argument("unknown kind \"" + name + "\"");
    } else {
        using Alternative = std::variant_alternative_t<Index, Variant>;
        if (name == Alternative::name)
            return data.get<Alternative>();
        return alternativeFromJson<Variant, Index + 1>(name, data);
    }
}

nlohmann::json alternativeToJson(const auto &variant)
{
    return std::visit([](const auto &alternative) { return nlohmann::json(alternative); }, variant);
}

const char *alternativeName(const auto &variant)
{
    return std::visit([](const auto &alternative) { return alternative.name; }, variant);
}

} // namespace cowsliprock
