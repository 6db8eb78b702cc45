#include "records.h"

#include <base/id.h>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace cowsliprock {

namespace {

using nlohmann::json;

constexpr std::size_t historyLength = 32;

[[nodiscard]] Error invalid(const char *step, std::string detail)
{
    return { ErrorKind::Invalid, step, {}, std::move(detail) };
}

[[nodiscard]] json encodeWrites(const std::vector<AcceptedWrite> &writes)
{
    json list = json::array();
    for (const auto &[version, write] : writes)
        list.push_back({ version, write });
    return list;
}

[[nodiscard]] std::vector<AcceptedWrite> decodeWrites(const json &list)
{
    std::vector<AcceptedWrite> writes;
    for (const json &entry : list)
        writes.push_back({ entry.at(0).get<std::uint64_t>(), entry.at(1) });
    return writes;
}

} // namespace

std::string changeKey(std::uint64_t version)
{
    return "/configuration/changes/" + std::to_string(version);
}

bool ConfigurationRecord::contains(std::uint64_t acceptedVersion, const WriteId &write) const
{
    return std::any_of(history.begin(), history.end(), [&](const AcceptedWrite &entry) {
        return entry.version == acceptedVersion && entry.write == write;
    });
}

std::string documentDigest(const nlohmann::json &document)
{
    const std::uint64_t hash = stableHash(document.dump());
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4)
        text += "0123456789abcdef"[(hash >> shift) & 15U];
    return text;
}

void appendWrite(std::vector<AcceptedWrite> &history, AcceptedWrite write)
{
    history.push_back(std::move(write));
    if (history.size() > historyLength)
        history.erase(history.begin(),
                      std::prev(history.end(), static_cast<std::ptrdiff_t>(historyLength)));
}

std::string encodeConfigurationRecord(const ConfigurationRecord &record)
{
    const json head = { { "version", record.version },
                        { "row", record.row },
                        { "digest", record.digest },
                        { "write", record.history.empty() ? "" : record.history.back().write },
                        { "history", encodeWrites(record.history) } };
    // Appending the document as text avoids a copy of up to 1 MB.
    std::string text = head.dump();
    text.pop_back();
    return text + ",\"document\":" + record.document.dump() + "}";
}

Result<ConfigurationRecord> decodeConfigurationRecord(std::string_view text)
{
    constexpr const char *step = "configuration.decode";
    try {
        json value = json::parse(text);
        ConfigurationRecord record;
        record.version = value.at("version").get<std::uint64_t>();
        record.row = value.at("row").get<std::uint64_t>();
        record.digest = value.at("digest").get<std::string>();
        record.history = decodeWrites(value.at("history"));
        record.document = std::move(value.at("document"));
        if (!record.document.is_object() || documentDigest(record.document) != record.digest)
            return invalid(step, "the configuration digest does not match the document");
        return record;
    } catch (const std::exception &exception) {
        return invalid(step, exception.what());
    }
}

std::string encodeChange(const ChangeRecord &change)
{
    return json{
        { "version", change.version }, { "from", change.from },
        { "row", change.row },         { "accepted", change.accepted },
        { "digest", change.digest },   { "writes", encodeWrites(change.writes) },
        { "patch", change.patch }
    }.dump();
}

Result<ChangeRecord> decodeChange(std::string_view text)
{
    try {
        json value = json::parse(text);
        ChangeRecord change;
        change.version = value.at("version").get<std::uint64_t>();
        change.from = value.at("from").get<std::uint64_t>();
        change.row = value.at("row").get<std::uint64_t>();
        change.accepted = value.at("accepted").get<bool>();
        change.digest = value.at("digest").get<std::string>();
        change.writes = decodeWrites(value.at("writes"));
        change.patch = std::move(value.at("patch"));
        return change;
    } catch (const std::exception &exception) {
        return invalid("change.decode", exception.what());
    }
}

} // namespace cowsliprock
