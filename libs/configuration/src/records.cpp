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

bool HeldConfiguration::contains(std::uint64_t acceptedVersion, const WriteId &write) const
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

std::string encodeHeld(const HeldConfiguration &held)
{
    const json head = { { "version", held.version },
                        { "row", held.row },
                        { "digest", held.digest },
                        { "write", held.history.empty() ? "" : held.history.back().write },
                        { "history", encodeWrites(held.history) } };
    // The document is appended as text, which saves a copy of up to 1 MB.
    std::string text = head.dump();
    text.pop_back();
    return text + ",\"document\":" + held.document.dump() + "}";
}

Result<HeldConfiguration> decodeHeld(std::string_view text)
{
    constexpr const char *step = "configuration.decode";
    try {
        json value = json::parse(text);
        HeldConfiguration held;
        held.version = value.at("version").get<std::uint64_t>();
        held.row = value.at("row").get<std::uint64_t>();
        held.digest = value.at("digest").get<std::string>();
        held.history = decodeWrites(value.at("history"));
        held.document = std::move(value.at("document"));
        if (!held.document.is_object() || documentDigest(held.document) != held.digest)
            return invalid(step, "the digest does not match the document");
        return held;
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
