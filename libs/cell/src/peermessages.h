#pragma once

#include <cell/clientresults.h>
#include <cell/model.h>
#include <cell/ports.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cell {

// Status codes of responses between daemons, as in HTTP.
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTimeout = 504;

/// JSON bodies of requests between daemons. The decoders return nullopt if the text is malformed.

struct PeerAdviceRequest
{
    std::string step;
    std::vector<std::string> workers;
    Duration timeout{};
};

/// Asks a daemon not to claim a shard from its owner.
struct PromiseRequest
{
    std::uint64_t ownershipRevision = 0;
};

/// Answer of a daemon that has promised not to claim a shard.
struct PromiseAnswer
{
    Duration runningFor{}; ///< Age of the daemon's process, which knows only its own claims.
};

/// Answer of the owner of a shard to the notification of an accepted job.
struct AcceptedAnswer
{
    /// How long work of the same customer above its guaranteed rate waits; nothing if the customer
    /// does not exceed its rate or no such work waits.
    std::optional<Duration> excessDelay;
};

[[nodiscard]] std::string encode(const AcceptedAnswer &answer);
[[nodiscard]] std::string encode(const PeerAdviceRequest &question);
[[nodiscard]] std::string encode(const PromiseRequest &request);
[[nodiscard]] std::string encode(const PromiseAnswer &answer);
[[nodiscard]] std::string encode(const Advice &advice);
[[nodiscard]] std::string encodeStatus(const std::optional<JobStatus> &status);
[[nodiscard]] std::string encodeCount(std::uint64_t count);

[[nodiscard]] std::optional<PeerAdviceRequest> decodePeerAdviceRequest(const std::string &text);
[[nodiscard]] std::optional<PromiseRequest> decodePromiseRequest(const std::string &text);
[[nodiscard]] std::optional<PromiseAnswer> decodePromiseAnswer(const std::string &text);
[[nodiscard]] std::optional<AcceptedAnswer> decodeAcceptedAnswer(const std::string &text);
[[nodiscard]] std::optional<Advice> decodeAdvice(const std::string &text);
/// The outer optional is empty if the text is malformed, the inner one if the job is unknown.
[[nodiscard]] std::optional<std::optional<JobStatus>> decodeStatus(const std::string &text);
[[nodiscard]] std::optional<std::uint64_t> decodeCount(const std::string &text);

} // namespace cowsliprock::cell
