#include "jsonmodel.h"

#include "jsonvariant.h"

namespace nlohmann {

using cowsliprock::Configuration;
using cowsliprock::ConfigurationPointer;
using cowsliprock::Message;

void adl_serializer<ConfigurationPointer>::to_json(json &target, const ConfigurationPointer &value)
{
    target = value ? json(*value) : json(nullptr);
}

void adl_serializer<ConfigurationPointer>::from_json(const json &source,
                                                     ConfigurationPointer &value)
{
    value = source.is_null() ? nullptr
                             : std::make_shared<const Configuration>(source.get<Configuration>());
}

void adl_serializer<Message>::to_json(json &target, const Message &value)
{
    target = { { "kind", cowsliprock::alternativeName(value) },
               { "data", cowsliprock::alternativeToJson(value) } };
}

void adl_serializer<Message>::from_json(const json &source, Message &value)
{
    value = cowsliprock::alternativeFromJson<Message>(source.at("kind").get<std::string>(),
                                                      source.at("data"));
}

} // namespace nlohmann
