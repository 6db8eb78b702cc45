#pragma once

#include <cell/clientresults.h>
#include <cell/model.h>
#include <cell/ports.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cell {

// Statuses of the answers of daemons to each other.
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTimeout = 504;

/// Bodies of the calls between daemons, as JSON. Decoders return nothing for malformed text.

struct AdviceQuestion
{
    std::string step;
    std::vector<std::string> workers;
    Duration timeout{};
};

[[nodiscard]] std::string encode(const AdviceQuestion &question);
[[nodiscard]] std::string encode(const Advice &advice);
[[nodiscard]] std::string encodeStatus(const std::optional<JobStatus> &status);
[[nodiscard]] std::string encodeCount(std::uint64_t count);

[[nodiscard]] std::optional<AdviceQuestion> decodeAdviceQuestion(const std::string &text);
[[nodiscard]] std::optional<Advice> decodeAdvice(const std::string &text);
/// The outer value is empty if the text is malformed, the inner one if the job is not known.
[[nodiscard]] std::optional<std::optional<JobStatus>> decodeStatus(const std::string &text);
[[nodiscard]] std::optional<std::uint64_t> decodeCount(const std::string &text);

} // namespace cowsliprock::cell
