#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace cowsliprock {

/// One line of a daemon's structured log.
struct LogLine
{
    std::int64_t time = 0; ///< Milliseconds: since 1970, or of the monotonic clock without a date.
    std::string process;
    std::string event;
    nlohmann::json fields; ///< What the line says beyond these.
};

/// Reads the lines of one log file. Text that is no line of a structured log is skipped.
[[nodiscard]] std::vector<LogLine> readLog(std::istream &text);

/// What several logs say about one job.
struct Account
{
    std::string job;
    std::vector<LogLine> events;       ///< Lines that name the job, in the order of their time.
    std::vector<LogLine> context;      ///< What happened meanwhile to daemons, store and workers.
    std::vector<std::string> findings; ///< Plain sentences, the cause last.

    [[nodiscard]] bool found() const noexcept { return !events.empty(); }
};

/// Gathers the account of \p job, which stands in lines as an id, or as the first part of the id
/// of a step or task.
[[nodiscard]] Account explain(const std::string &job, std::vector<LogLine> lines);

[[nodiscard]] nlohmann::json toJson(const Account &account);
[[nodiscard]] std::string toText(const Account &account);

} // namespace cowsliprock
