#include "wire.h"

#include <base64.h>

#include <base/parsenumber.h>

#include <charconv>

namespace cowsliprock::standincell {

using namespace cell;

namespace {

std::string decodePercent(std::string_view text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned byte = 0;
        if (text[at] == '%' && at + 2 < text.size()
            && std::from_chars(text.data() + at + 1, text.data() + at + 3, byte, 16).ec
                == std::errc()) {
            result += static_cast<char>(byte);
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

} // namespace

std::string Target::value(const std::string &name) const
{
    const auto entry = query.find(name);
    return entry == query.end() ? std::string() : entry->second;
}

std::uint64_t Target::number(const std::string &name) const
{
    return parseNumber<std::uint64_t>(value(name)).value_or(0);
}

Target parseTarget(const std::string &target)
{
    Target result;
    const auto queryStart = target.find('?');
    result.path = target.substr(0, queryStart);
    if (queryStart == std::string::npos)
        return result;
    std::string_view rest = std::string_view(target).substr(queryStart + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            result.query[std::string(pair.substr(0, equals))] =
                decodePercent(pair.substr(equals + 1));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return result;
}

HttpServerResponse reply(unsigned status, const Json &body)
{
    HttpServerResponse result;
    result.status = status;
    result.body = body.dump();
    return result;
}

Json toJson(const StoreItem &item)
{
    return { { "key", item.key },
             { "value", platform::encodeBase64(item.value) },
             { "revision", item.revision },
             { "created", item.created },
             { "lease", item.lease } };
}

Json toJson(const Inventory &inventory)
{
    Json running = Json::array();
    for (const auto &row : inventory.running)
        running.push_back({ row.task.text(), row.run, row.checkpoint, row.percent, 0 });
    Json finished = Json::array();
    for (const auto &row : inventory.finished)
        finished.push_back(
            { row.number, row.task.text(), row.run, toString(row.kind), row.checkpoint });
    return { { "born", inventory.born },
             { "clock_ms", inventory.clock.count() },
             { "running", std::move(running) },
             { "finished", std::move(finished) } };
}

Transaction toTransaction(const Json &json)
{
    Transaction transaction;
    for (const auto &row : json.value("expected_rev", Json::array()))
        transaction.conditions.push_back({ row.at("key"), row.at("revision") });
    for (const auto &row : json.value("writes", Json::array())) {
        const auto value = platform::decodeBase64(row.at("value").get<std::string>());
        transaction.writes.push_back(
            { row.at("key"), value.value_or(""), row.value("lease", std::uint64_t{ 0 }) });
    }
    transaction.removals = json.value("remove", std::vector<std::string>());
    return transaction;
}

} // namespace cowsliprock::standincell
