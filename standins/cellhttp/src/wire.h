#pragma once

#include <cell/model.h>
#include <cell/ports.h>
#include <eventloop/httpserver.h>

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace cowsliprock::standincell {

using Json = nlohmann::json;

/// Path and decoded query of a request target.
struct Target
{
    std::string path;
    std::map<std::string, std::string> query;

    [[nodiscard]] std::string value(const std::string &name) const;
    [[nodiscard]] std::uint64_t number(const std::string &name) const;
};

[[nodiscard]] Target parseTarget(const std::string &target);

[[nodiscard]] HttpServerResponse reply(unsigned status, const Json &body = Json::object());

[[nodiscard]] Json toJson(const cell::StoreItem &item);
[[nodiscard]] Json toJson(const cell::Inventory &inventory);
[[nodiscard]] cell::Transaction toTransaction(const Json &json);

} // namespace cowsliprock::standincell
