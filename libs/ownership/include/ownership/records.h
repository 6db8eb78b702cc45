#pragma once

#include <base/error.h>
#include <base/time.h>
#include <kernel/identity.h>
#include <kernel/model.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Records that the ownership stage stores, their keys and their encoding.
namespace cowsliprock::ownership {

/// Lease and journal head of one daemon, stored at /daemons/<name>.
/// The pair (incarnation, sequence) identifies the write.
struct DaemonRecord
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<DaemonIdentity> successors;
    std::uint64_t segment = 0;     ///< Number of the next journal segment.
    Duration age{ 0 };             ///< Time since the incarnation started, in whole seconds.
    std::vector<std::string> head; ///< Encoded journal entries not yet moved to a segment.
    bool ended = false;            ///< No further write is made under this incarnation.
};

/// Previous owner of a partition whose journal may contain entries within the retention time.
struct PreviousOwner
{
    DaemonIdentity identity;
    Duration age{ 0 }; ///< Lower bound of the time since it lost the partition, in whole hours.
};

struct PartitionEntry
{
    DaemonIdentity owner;
    std::uint64_t epoch = 0;
    bool released = false; ///< The owner released the partition after draining its sends.
    std::vector<PreviousOwner> previousOwners; ///< Oldest first.
};

/// Owners of the partitions of one data centre, stored at /cells/<data centre>/ownership.
/// The pair (owner, epoch) identifies the write of an entry.
struct OwnershipRecord
{
    std::map<std::uint32_t, PartitionEntry> partitions;
};

/// Part of a daemon's journal, stored at /journal/<name>/<incarnation>/<number>.
struct JournalSegment
{
    Duration age{ 0 }; ///< Age of the incarnation when the segment was written.
    std::vector<std::string> entries;
};

[[nodiscard]] std::string daemonKey(const DaemonName &name);
[[nodiscard]] std::string ownershipKey(const std::string &dataCentre);
/// Common key prefix of all journal segments of an incarnation.
[[nodiscard]] std::string journalPrefix(const DaemonIdentity &identity);
[[nodiscard]] std::string segmentKey(const DaemonIdentity &identity, std::uint64_t number);
[[nodiscard]] PartitionId partitionId(const std::string &dataCentre, std::uint32_t index);

[[nodiscard]] std::string encodeRecord(const DaemonRecord &record);
[[nodiscard]] std::string encodeRecord(const OwnershipRecord &record);
[[nodiscard]] std::string encodeSegment(const JournalSegment &segment);
[[nodiscard]] std::string encodeEntry(const JournalEntry &entry);

/// The decoders return ErrorKind::Invalid for malformed text.
[[nodiscard]] Result<DaemonRecord> decodeDaemonRecord(std::string_view text);
[[nodiscard]] Result<OwnershipRecord> decodeOwnershipRecord(std::string_view text);
[[nodiscard]] Result<JournalSegment> decodeSegment(std::string_view text);
[[nodiscard]] Result<JournalEntry> decodeEntry(std::string_view text);

} // namespace cowsliprock::ownership
