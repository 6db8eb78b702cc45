#include "documentpatch.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace cowsliprock {

namespace {

using nlohmann::json;

/// Appends the patch between two lists. Operations keep the order in which they apply.
void appendListPatch(const std::string &path, const json &from, const json &to, json &patch)
{
    const std::size_t shorter = std::min(from.size(), to.size());
    std::size_t head = 0;
    while (head < shorter && from[head] == to[head])
        ++head;
    std::size_t tail = 0;
    while (tail < shorter - head && from[from.size() - 1 - tail] == to[to.size() - 1 - tail])
        ++tail;

    const std::size_t fromEnd = from.size() - tail;
    const std::size_t toEnd = to.size() - tail;
    const std::size_t paired = std::min(fromEnd, toEnd);
    for (std::size_t index = head; index < paired; ++index) {
        for (json &operation :
             json::diff(from[index], to[index], path + "/" + std::to_string(index)))
            patch.push_back(std::move(operation));
    }
    for (std::size_t index = fromEnd; index > paired; --index)
        patch.push_back(
            { { "op", "remove" }, { "path", path + "/" + std::to_string(index - 1) } });
    for (std::size_t index = paired; index < toEnd; ++index)
        patch.push_back({ { "op", "add" },
                          { "path", path + "/" + std::to_string(index) },
                          { "value", to[index] } });
}

} // namespace

nlohmann::json makePatch(const nlohmann::json &from, const nlohmann::json &to)
{
    json patch = json::array();
    const auto isListInBoth = [&](const std::string &name) {
        const auto left = from.find(name);
        const auto right = to.find(name);
        return left != from.end() && left->is_array() && right != to.end() && right->is_array();
    };
    const auto rest = [&](const json &document) {
        json members = json::object();
        for (const auto &[name, member] : document.items()) {
            if (!isListInBoth(name))
                members[name] = member;
        }
        return members;
    };
    for (const auto &[name, list] : from.items()) {
        if (isListInBoth(name))
            appendListPatch("/" + name, list, to.at(name), patch);
    }
    for (json &operation : json::diff(rest(from), rest(to)))
        patch.push_back(std::move(operation));
    return patch;
}

} // namespace cowsliprock
