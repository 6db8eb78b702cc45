#pragma once

#include <kernel/settings.h>
#include <kernel/stage.h>

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>

namespace cowsliprock::requests {

/// Reference counts of message bodies: a body is released with its last reference. A daemon may
/// reference the same body in its entry, home and owner roles.
class BodyReferences
{
public:
    void retain(const BodyKey &body);
    void release(const BodyKey &body, Output &output);
    [[nodiscard]] std::size_t size() const noexcept { return m_counts.size(); }

private:
    std::unordered_map<BodyKey, std::uint32_t> m_counts;
};

/// Reply from this daemon's owner role to its dispatcher.
struct OwnerReply
{
    AttemptId attempt;
    RequestAnswer answer;
};

enum class Requester { Entry, Home };

/// Final result of an operation of the dispatcher.
struct OperationResult
{
    Requester requester = Requester::Entry;
    AttemptId operation;
    RequestAnswer answer;
};

/// Reply from this daemon's home role to its entry role.
struct HomeReply
{
    RequestId request;
    RequestAnswer answer;
};

using LocalReply = std::variant<OwnerReply, OperationResult, HomeReply>;

/// State shared by the components of the stage. `now` and `output` are valid only while one event
/// is handled.
class Context
{
public:
    explicit Context(const KernelSettings &kernelSettings);

    [[nodiscard]] const ServiceDefinition *service(const std::string &name) const;
    void configure(const Configuration &configuration);

    [[nodiscard]] std::uint64_t randomBelow(std::uint64_t bound);

    /// Returns an identifier that is unique across all daemons and incarnations.
    [[nodiscard]] AttemptId newAttempt();

    /// Returns an identifier for an attempt sent to a peer; it ends with the peer's incarnation.
    [[nodiscard]] AttemptId newAttempt(const DaemonIdentity &target);

    /// True if the attempt was addressed to an earlier incarnation of this daemon. The list of
    /// attempts seen by that incarnation is lost, so the attempt may already have been executed.
    [[nodiscard]] bool isForEarlierIncarnation(const AttemptId &attempt) const;

    void send(const DaemonName &to, Message message);

    /// Queues a reply between components of this daemon and retains the answer's body.
    void reply(LocalReply reply);

    const KernelSettings settings;
    std::map<std::string, std::string> homeRegions; ///< Keyed by caller.
    TimePoint now;
    Output *output = nullptr;
    TimePoint validUntil;
    bool storeReachable = true;
    bool draining = false;
    BodyReferences bodies;
    std::deque<LocalReply> replies;

private:
    std::map<std::string, ServiceDefinition> m_services;
    std::mt19937_64 m_random;
    std::uint64_t m_lastAttempt = 0;
};

[[nodiscard]] RequestAnswer notRun(const char *reason, Duration retryAfter);
[[nodiscard]] RequestAnswer unknown(const char *reason);

/// Retry-after time of refusals for which no wait can be estimated.
inline constexpr Duration defaultRetryAfter{ std::chrono::seconds(1) };

} // namespace cowsliprock::requests
