#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace cowsliprock {

/// One entry of a daemon's structured log.
struct LogEntry
{
    /// Milliseconds since 1970, or of the monotonic clock if the entry has no wall-clock time.
    std::int64_t time = 0;
    std::string process;
    std::string event;
    nlohmann::json fields; ///< All other fields of the entry.
};

/// Reads the entries of one log file. Lines that are not structured log entries are skipped.
[[nodiscard]] std::vector<LogEntry> readLog(std::istream &text);

/// Report on one job, compiled from the logs of several daemons.
struct JobReport
{
    std::string job;
    std::vector<LogEntry> events;      ///< Entries that mention the job, in chronological order.
    std::vector<LogEntry> context;     ///< Events of daemons, store and workers at that time.
    std::vector<std::string> findings; ///< Summary, from acceptance to outcome.

    [[nodiscard]] bool found() const noexcept { return !events.empty(); }
};

/// Compiles the report on \p job from \p lines. Log entries refer to a job by its id or by the id
/// of one of its steps or tasks, which starts with the id of the job.
[[nodiscard]] JobReport explain(const std::string &job, std::vector<LogEntry> lines);

[[nodiscard]] nlohmann::json toJson(const JobReport &report);
[[nodiscard]] std::string toText(const JobReport &report);

} // namespace cowsliprock
