#pragma once

#include <cell/model.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// A daemon that is alive, as written under its lease.
struct MemberRecord
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string address; ///< For calls of peers.
    std::string dataCentre;
    double weight = 1.0; ///< Processor share; stronger daemons are preferred as owners.
};

/// Who schedules a shard. The revision of this record is the fencing epoch.
struct OwnerRecord
{
    std::string name; ///< Empty after a hand-over.
    std::uint64_t incarnation = 0;
    std::string address;
    std::uint64_t generation = 0; ///< Rises by one with each owner.
    double weight = 0;            ///< Processor share of the owner.
};

/// A worker that may run something when the owner changes.
struct RosterEntry
{
    WorkerEntry worker;
    /// Jobs of which it may run tasks, if it gets no orders any more; nothing: of any job.
    std::optional<std::set<std::string>> jobs;
};

/// Failed runs of one task. Workers list an end until it is acknowledged, and in any order, so the
/// runs are kept by number: each counts once.
struct TaskFailures
{
    std::uint32_t index = 0;
    std::vector<std::uint32_t> runs;
};

struct StepProgress
{
    std::vector<bool> done;
    std::vector<TaskFailures> failures;
};

struct OccurrenceProgress
{
    std::uint32_t number = 0;
    std::vector<StepProgress> steps;
};

/// What must outlive the owner of a job: ends that workers are allowed to forget.
struct JobProgress
{
    JobStatus status = JobStatus::Queued;
    std::vector<OccurrenceProgress> occurrences;
};

[[nodiscard]] std::string encode(const MemberRecord &record);
[[nodiscard]] std::string encode(const OwnerRecord &record);
[[nodiscard]] std::string encode(const JobRecord &record);
[[nodiscard]] std::string encode(const JobProgress &progress);

[[nodiscard]] std::string encode(const std::vector<RosterEntry> &roster);

/// The decoders return nothing if the text is malformed.
[[nodiscard]] std::optional<MemberRecord> decodeMember(const std::string &text);
[[nodiscard]] std::optional<OwnerRecord> decodeOwner(const std::string &text);
[[nodiscard]] std::optional<JobRecord> decodeJob(const std::string &text);
[[nodiscard]] std::optional<JobProgress> decodeProgress(const std::string &text);
[[nodiscard]] std::optional<std::vector<RosterEntry>> decodeRoster(const std::string &text);

} // namespace cowsliprock::cell
