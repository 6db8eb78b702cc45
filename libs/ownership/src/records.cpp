#include <ownership/records.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <stdexcept>

namespace cowsliprock::ownership {

namespace {

using nlohmann::json;

// The member names of stored documents are single letters to keep them small: the daemon record is
// rewritten with every renewal.

[[nodiscard]] Error invalid(const char *step, std::string detail)
{
    return { ErrorKind::Invalid, step, {}, std::move(detail) };
}

[[nodiscard]] std::int64_t seconds(Duration value)
{
    return std::chrono::duration_cast<std::chrono::seconds>(value).count();
}

[[nodiscard]] DaemonIdentity identityFromText(const std::string &text)
{
    const auto separator = text.rfind('#');
    if (separator == std::string::npos)
        throw std::invalid_argument("daemon identity has no '#' before the incarnation");
    return { DaemonName(text.substr(0, separator)), std::stoull(text.substr(separator + 1)) };
}

/// Joins entries that are already encoded as JSON, without parsing them again.
[[nodiscard]] std::string joinEntries(const std::vector<std::string> &entries)
{
    std::string text = "[";
    for (const auto &entry : entries) {
        if (text.size() > 1)
            text += ',';
        text += entry;
    }
    return text + "]";
}

[[nodiscard]] std::vector<std::string> splitEntries(const json &source)
{
    std::vector<std::string> entries;
    entries.reserve(source.size());
    for (const auto &entry : source)
        entries.push_back(entry.dump());
    return entries;
}

[[nodiscard]] json entryToJson(const PartitionEntry &entry)
{
    json target = { { "o", entry.owner.text() }, { "e", entry.epoch } };
    if (entry.released)
        target["r"] = 1;
    for (const auto &[identity, age] : entry.previousOwners) {
        target["b"].push_back(
            { identity.text(), std::chrono::duration_cast<std::chrono::hours>(age).count() });
    }
    return target;
}

[[nodiscard]] PartitionEntry entryFromJson(const json &source)
{
    PartitionEntry entry;
    entry.owner = identityFromText(source.at("o").get<std::string>());
    entry.epoch = source.at("e").get<std::uint64_t>();
    entry.released = source.contains("r");
    for (const auto &previous : source.value("b", json::array())) {
        entry.previousOwners.push_back({ identityFromText(previous.at(0).get<std::string>()),
                                         std::chrono::hours(previous.at(1).get<std::int64_t>()) });
    }
    return entry;
}

} // namespace

std::string daemonKey(const DaemonName &name)
{
    return "/daemons/" + name.value();
}

std::string ownershipKey(const std::string &dataCentre)
{
    return "/cells/" + dataCentre + "/ownership";
}

std::string journalPrefix(const DaemonIdentity &identity)
{
    return "/journal/" + identity.name.value() + "/" + std::to_string(identity.incarnation) + "/";
}

std::string segmentKey(const DaemonIdentity &identity, std::uint64_t number)
{
    // Zero-padded, so that a listing in key order returns the segments in order.
    std::string digits = std::to_string(number);
    if (digits.size() < 8)
        digits.insert(0, 8 - digits.size(), '0');
    return journalPrefix(identity) + digits;
}

PartitionId partitionId(const std::string &dataCentre, std::uint32_t index)
{
    return PartitionId(dataCentre + "/" + std::to_string(index));
}

std::string encodeRecord(const DaemonRecord &record)
{
    json document = { { "i", record.incarnation },
                      { "q", record.sequence },
                      { "t", seconds(record.age) } };
    if (record.segment > 0)
        document["n"] = record.segment;
    if (record.ended)
        document["e"] = 1;
    for (const auto &successor : record.successors)
        document["s"].push_back(successor.text());
    std::string text = document.dump();
    if (!record.head.empty())
        text.insert(text.size() - 1, ",\"h\":" + joinEntries(record.head));
    return text;
}

std::string encodeRecord(const OwnershipRecord &record)
{
    json document = json::object();
    for (const auto &[index, entry] : record.partitions)
        document[std::to_string(index)] = entryToJson(entry);
    return document.dump();
}

std::string encodeSegment(const JournalSegment &segment)
{
    return "{\"t\":" + std::to_string(seconds(segment.age))
        + ",\"h\":" + joinEntries(segment.entries) + "}";
}

std::string encodeEntry(const JournalEntry &entry)
{
    json document = { static_cast<int>(entry.kind), entry.partition.value(), entry.identity,
                      entry.attempt.value() };
    if (entry.digest != 0 || !entry.worker.empty())
        document.push_back(entry.digest);
    if (!entry.worker.empty())
        document.push_back(entry.worker.value());
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<DaemonRecord> decodeDaemonRecord(std::string_view text)
{
    try {
        const json document = json::parse(text);
        DaemonRecord record;
        record.incarnation = document.at("i").get<std::uint64_t>();
        record.sequence = document.at("q").get<std::uint64_t>();
        record.age = std::chrono::seconds(document.at("t").get<std::int64_t>());
        record.segment = document.value("n", std::uint64_t{ 0 });
        record.ended = document.contains("e");
        for (const auto &successor : document.value("s", json::array()))
            record.successors.push_back(identityFromText(successor.get<std::string>()));
        record.head = splitEntries(document.value("h", json::array()));
        return record;
    } catch (const std::exception &exception) {
        return invalid("daemonRecord.decode", exception.what());
    }
}

Result<OwnershipRecord> decodeOwnershipRecord(std::string_view text)
{
    try {
        const json document = json::parse(text);
        OwnershipRecord record;
        for (const auto &[index, entry] : document.items())
            record.partitions[static_cast<std::uint32_t>(std::stoul(index))] = entryFromJson(entry);
        return record;
    } catch (const std::exception &exception) {
        return invalid("ownershipRecord.decode", exception.what());
    }
}

Result<JournalSegment> decodeSegment(std::string_view text)
{
    try {
        const json document = json::parse(text);
        return JournalSegment{ std::chrono::seconds(document.at("t").get<std::int64_t>()),
                               splitEntries(document.at("h")) };
    } catch (const std::exception &exception) {
        return invalid("journalSegment.decode", exception.what());
    }
}

Result<JournalEntry> decodeEntry(std::string_view text)
{
    try {
        const json document = json::parse(text);
        JournalEntry entry;
        entry.kind = static_cast<JournalEntry::Kind>(document.at(0).get<int>());
        entry.partition = PartitionId(document.at(1).get<std::string>());
        entry.identity = document.at(2).get<std::string>();
        entry.attempt = AttemptId(document.at(3).get<std::string>());
        if (document.size() > 4)
            entry.digest = document.at(4).get<std::uint64_t>();
        if (document.size() > 5)
            entry.worker = WorkerName(document.at(5).get<std::string>());
        return entry;
    } catch (const std::exception &exception) {
        return invalid("journalEntry.decode", exception.what());
    }
}

} // namespace cowsliprock::ownership
