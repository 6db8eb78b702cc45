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

/// Counts the uses of each body, so that a body is released after its last use. One daemon may hold
/// the same body as entry, home and owner.
class BodyHolds
{
public:
    void hold(const BodyKey &body);
    void release(const BodyKey &body, Output &output);
    [[nodiscard]] std::size_t size() const noexcept { return m_uses.size(); }

private:
    std::unordered_map<BodyKey, std::uint32_t> m_uses;
};

/// Answer of this daemon's owner side to its own requester side.
struct OwnerReply
{
    AttemptId attempt;
    RequestAnswer answer;
};

enum class Requester { Entry, Home };

/// Final answer to a piece of work of the dispatcher.
struct WorkDone
{
    Requester requester = Requester::Entry;
    AttemptId work;
    RequestAnswer answer;
};

/// Answer of this daemon's home side to its own entry side.
struct HomeReply
{
    RequestId request;
    RequestAnswer answer;
};

using LocalReply = std::variant<OwnerReply, WorkDone, HomeReply>;

/// What the parts of the stage share. Valid during one event: now and output.
class Context
{
public:
    explicit Context(const KernelSettings &kernelSettings);

    [[nodiscard]] const ServiceDefinition *service(const std::string &name) const;
    void configure(const Configuration &configuration);

    [[nodiscard]] std::uint64_t randomBelow(std::uint64_t bound);

    /// Unique over all daemons and runs.
    [[nodiscard]] AttemptId newAttempt();

    /// An attempt to be sent to a peer. The identifier ends with the peer's incarnation.
    [[nodiscard]] AttemptId newAttempt(const DaemonIdentity &target);

    /// True if the attempt was sent to an earlier run of this daemon, whose memory of attempts is
    /// lost: it may have run already.
    [[nodiscard]] bool forEarlierRun(const AttemptId &attempt) const;

    void send(const DaemonName &to, Message message);

    /// Queues a reply between parts of this daemon; it holds the answer's body.
    void reply(LocalReply reply);

    const KernelSettings settings;
    std::map<std::string, std::string> homeRegions; ///< By caller.
    TimePoint now;
    Output *output = nullptr;
    TimePoint validUntil;
    bool storeReachable = true;
    bool draining = false;
    BodyHolds bodies;
    std::deque<LocalReply> replies;

private:
    std::map<std::string, ServiceDefinition> m_services;
    std::mt19937_64 m_random;
    std::uint64_t m_lastAttempt = 0;
};

[[nodiscard]] RequestAnswer notRun(const char *reason, Duration retryAfter);
[[nodiscard]] RequestAnswer unknown(const char *reason);

/// Time to come back after a refusal that has no better estimate.
inline constexpr Duration defaultRetryAfter{ std::chrono::seconds(1) };

} // namespace cowsliprock::requests
