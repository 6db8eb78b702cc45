#pragma once

#include <cell/model.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Presence record of a live daemon, written under its lease.
struct MemberRecord
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string address; ///< Address for requests from peers.
    std::string dataCentre;
    double weight = 1.0; ///< CPU share; daemons with a larger share are preferred as owners.
};

/// The owner of a shard. The revision of this record is the fencing token.
struct OwnerRecord
{
    std::string name; ///< Empty after the shard was handed over.
    std::uint64_t incarnation = 0;
    std::string address;
    std::uint64_t generation = 0; ///< Incremented with each change of ownership.
    double weight = 0;            ///< CPU share of the owner.
    /// Claimed while promises could still extend an earlier ownership. The owner uses the workers
    /// only after it has fenced a majority of them, and names its successors after that.
    bool contested = false;
};

/// A daemon that an owner asks for promises. Its next incarnation at the same address takes its
/// place.
struct Successor
{
    std::string name;
    std::string address;

    friend bool operator==(const Successor &, const Successor &) = default;
};

/// The successors of the owner with this revision.
struct SuccessorsRecord
{
    std::uint64_t ownershipRevision = 0;
    std::vector<Successor> successors;
};

/// A worker that may be running tasks when the owner changes.
struct RosterEntry
{
    WorkerEntry worker;
    /// Jobs whose tasks the worker may be running, if it receives no more orders; nullopt means any
    /// job.
    std::optional<std::set<std::string>> jobs;
};

/// Failed runs of one task. Workers report a finished run until it is acknowledged, in any order,
/// so runs are stored by number to count each of them once. Of a long-running task only the newest
/// ended run is stored.
struct TaskFailures
{
    std::uint32_t index = 0;
    std::vector<std::uint32_t> runs;
};

/// Workers that were lost while they ran one task.
struct TaskCrashes
{
    std::uint32_t index = 0;
    std::uint32_t atStart = 0; ///< Workers that crashed when they had just begun the run.
    std::uint32_t all = 0;
};

struct StepProgress
{
    std::vector<bool> done;
    std::vector<TaskFailures> failures;
    std::vector<TaskCrashes> crashes;
};

struct OccurrenceProgress
{
    std::uint32_t number = 0;
    std::vector<StepProgress> steps;
};

/// Job state that must survive a change of owner: results that workers may already have discarded.
struct JobProgress
{
    JobStatus status = JobStatus::Queued;
    std::vector<OccurrenceProgress> occurrences;
};

/// End record of a job that was cancelled before it was stored. It keeps submissions that are still
/// in transit from storing the job. Callers are told that there is no such job.
inline const std::string notStoredRecord = "not-stored";

[[nodiscard]] std::string encode(const MemberRecord &record);
[[nodiscard]] std::string encode(const OwnerRecord &record);
[[nodiscard]] std::string encode(const SuccessorsRecord &record);
[[nodiscard]] std::string encode(const JobRecord &record);
[[nodiscard]] std::string encode(const JobProgress &progress);

[[nodiscard]] std::string encode(const std::vector<RosterEntry> &roster);

/// The decoders return nullopt if the text is malformed.
[[nodiscard]] std::optional<MemberRecord> decodeMember(const std::string &text);
[[nodiscard]] std::optional<OwnerRecord> decodeOwner(const std::string &text);
[[nodiscard]] std::optional<SuccessorsRecord> decodeSuccessors(const std::string &text);
[[nodiscard]] std::optional<JobRecord> decodeJob(const std::string &text);
[[nodiscard]] std::optional<JobProgress> decodeProgress(const std::string &text);
[[nodiscard]] std::optional<std::vector<RosterEntry>> decodeRoster(const std::string &text);

} // namespace cowsliprock::cell
