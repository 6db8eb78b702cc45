#include "documentpatch.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock {

namespace {

using nlohmann::json;

using NameIndex = std::unordered_map<std::string, std::size_t>;

/// Maps element names to indices; std::nullopt if a name is missing or duplicated.
[[nodiscard]] std::optional<NameIndex> indexByName(const json &list)
{
    NameIndex index;
    for (const json &element : list) {
        const auto name = element.is_object() ? element.find("name") : element.end();
        if (!element.is_object() || name == element.end() || !name->is_string()
            || !index.emplace(name->get<std::string>(), index.size()).second)
            return std::nullopt;
    }
    return index;
}

/// Returns true if the elements common to both lists have the same relative order.
[[nodiscard]] bool sameOrder(const json &to, const NameIndex &fromIndex)
{
    std::size_t next = 0;
    for (const json &element : to) {
        const auto known = fromIndex.find(element["name"].get_ref<const std::string &>());
        if (known == fromIndex.end())
            continue;
        if (known->second < next)
            return false;
        next = known->second + 1;
    }
    return true;
}

void append(json operations, json &patch)
{
    for (json &operation : operations)
        patch.push_back(std::move(operation));
}

/// Appends the patch between two lists. Removals come first, from the highest index down, so that
/// the indices of all operations are valid when they are applied.
void appendListPatch(const std::string &path, const json &from, const json &to, json &patch)
{
    const auto fromIndex = indexByName(from);
    const auto toIndex = indexByName(to);
    if (!fromIndex || !toIndex || !sameOrder(to, *fromIndex)) {
        append(json::diff(from, to, path), patch);
        return;
    }
    for (std::size_t index = from.size(); index > 0; --index) {
        if (!toIndex->contains(from[index - 1]["name"].get_ref<const std::string &>()))
            patch.push_back(
                { { "op", "remove" }, { "path", path + "/" + std::to_string(index - 1) } });
    }
    for (std::size_t index = 0; index < to.size(); ++index) {
        const std::string elementPath = path + "/" + std::to_string(index);
        const auto known = fromIndex->find(to[index]["name"].get_ref<const std::string &>());
        if (known == fromIndex->end())
            patch.push_back({ { "op", "add" }, { "path", elementPath }, { "value", to[index] } });
        else if (from[known->second] != to[index])
            append(json::diff(from[known->second], to[index], elementPath), patch);
    }
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
    const auto otherMembers = [&](const json &document) {
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
    append(json::diff(otherMembers(from), otherMembers(to)), patch);
    return patch;
}

} // namespace cowsliprock
