#pragma once

#include <kernel/kernel.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::testing {

/// Fault rates in thousandths.
struct Faults
{
    std::uint32_t lostMessages = 0;
    std::uint32_t duplicatedMessages = 0;
    std::uint32_t delayedMessages = 0; ///< Delayed by up to 2 s.
    std::uint32_t refusedCalls = 0;
    std::uint32_t unsentCalls = 0;
    std::uint32_t cutCalls = 0; ///< Outcome unknown to the owner; the endpoint continues.
    std::uint32_t leavingReplies = 0;
    std::uint32_t failedJournalWrites = 0;
};

struct ClusterOptions
{
    std::uint64_t seed = 1;
    std::uint32_t daemonsPerRegion = 2;
    std::uint32_t regions = 2;
    std::uint32_t workersPerRegion = 3;
    std::uint32_t partitions = 2; ///< Per data centre; each region has one data centre.
    ServiceDefinition service;
    Duration minServiceTime{ 5'000 };
    Duration maxServiceTime{ 120'000 };
    Duration maxTransit{ 40'000 }; ///< From the check of validUntil to arrival at the endpoint.
    std::uint32_t answerCacheEntries = 3;
    Faults faults;
    bool trace = false;
};

/// A request of a caller and its answer.
struct CallerRequest
{
    std::size_t daemon = 0;
    std::string content; ///< Body content; identifies the request, or its identity if it has one.
    RequestProfile profile;
    TimePoint arrived;
    TimePoint deadline;
    std::uint32_t answers = 0;
    TimePoint answeredAt;
    RequestAnswer answer;
    bool lost = false; ///< Its daemon was restarted before answering.
};

/// Simulates several kernels with the "requests" stage, with fake ownership, endpoints, workers and
/// network in simulated time. Throws std::runtime_error when an invariant is violated.
class Cluster
{
public:
    explicit Cluster(const ClusterOptions &options);

    /// Submits a request with this body content to a daemon. Returns the index of the request.
    std::size_t request(std::size_t daemon, RequestProfile profile, const std::string &content);
    void run(Duration duration);

    void pause(std::size_t daemon, bool paused);
    void restart(std::size_t daemon);
    void drain(std::size_t daemon);

    /// Moves a partition. A graceful move notifies the old owner first; otherwise the new owner
    /// waits until the old owner's validity and the quarantine have expired.
    void movePartition(const PartitionId &partition, std::size_t to, bool graceful);
    void setStoreOutage(bool outage) { m_storeOutage = outage; }
    void setFaults(const Faults &faults) { m_options.faults = faults; }
    void setCommitDelay(Duration delay) { m_commitDelay = delay; }
    void injectEvent(std::size_t daemon, const Event &event) { handle(daemon, event); }

    /// Checks the invariants that hold once all requests have finished.
    void checkEnd() const;

    [[nodiscard]] std::vector<PartitionId> partitions() const;
    [[nodiscard]] std::size_t daemonCount() const noexcept { return m_daemons.size(); }
    [[nodiscard]] std::size_t ownerOf(const PartitionId &partition) const;
    [[nodiscard]] const CallerRequest &result(std::size_t index) const { return m_requests[index]; }
    [[nodiscard]] const std::vector<CallerRequest> &results() const noexcept { return m_requests; }
    [[nodiscard]] std::uint32_t starts(const std::string &content) const;
    [[nodiscard]] std::uint64_t metricValue(const std::string &metric) const;
    [[nodiscard]] bool paused(std::size_t daemon) const { return m_daemons[daemon].paused; }
    [[nodiscard]] bool drained(std::size_t daemon) const { return m_daemons[daemon].drained; }
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    [[nodiscard]] std::uint64_t random(std::uint64_t bound);
    [[nodiscard]] const std::vector<std::string> &trace() const noexcept { return m_trace; }
    [[nodiscard]] std::uint64_t messages() const noexcept { return m_messages; }
    [[nodiscard]] std::uint64_t journalWrites() const noexcept { return m_journalWrites; }

private:
    using Action = std::function<void()>;

    struct Daemon
    {
        KernelSettings settings;
        std::unique_ptr<Kernel> kernel;
        std::map<BodyKey, std::string> bodies;
        LoadSummary load;
        TimePoint validUntil;
        TimePoint resumedAt;
        std::vector<Action> deferredActions; ///< Deferred while paused.
        bool paused = false;
        bool draining = false;
        bool drained = false;
        std::uint64_t lastBody = 0;
    };
    struct Partition
    {
        std::size_t owner = 0;
        bool owned = false;
        std::uint64_t epoch = 0;
        std::vector<JournalEntry> journal;
    };
    struct FakeEndpoint
    {
        VmEntry vm;
        PartitionId partition;
        std::multiset<std::string> active;
    };
    void after(Duration delay, Action action);
    void handle(std::size_t daemon, const Event &event);
    void perform(std::size_t daemon, const Effect &effect);
    void performEffect(std::size_t daemon, const effect::SendPeer &send);
    void performEffect(std::size_t daemon, const effect::AnswerCaller &answer);
    void performEffect(std::size_t daemon, const effect::CallEndpoint &call);
    void performEffect(std::size_t daemon, const effect::ForgetBody &forget);
    void performEffect(std::size_t daemon, const effect::Count &count);
    void performEffect(std::size_t, const auto &) { }
    void handleRaised(std::size_t daemon, const Event &event);
    void journal(std::size_t daemon, const event::JournalAppend &append);
    void deliver(std::size_t to, const DaemonIdentity &from, Message message);
    void startAtEndpoint(std::size_t daemon, const effect::CallEndpoint &call,
                         const std::string &content);
    void reply(std::size_t daemon, std::uint64_t incarnation, event::EndpointReply reply,
               const std::string &content);
    void acquire(const PartitionId &partition, std::size_t to, Duration quarantine);
    /// Assigns a partition to the preferred daemon, or to the next one that is running.
    void acquireAnywhere(const PartitionId &partition, std::size_t preferred, Duration wait);
    void publishOwners();
    void createDaemon(std::size_t daemon, std::uint64_t incarnation);
    void startDaemon(std::size_t daemon);
    void tickDaemons();
    void sendHeartbeats();
    void renewValidity();
    void pollWorkers();
    void checkRequests() const;
    void fail(const std::string &text) const;
    [[nodiscard]] bool chance(std::uint32_t thousandths) { return random(1000) < thousandths; }
    [[nodiscard]] std::string bodyContent(std::size_t daemon, const BodyKey &key) const;
    void recordTrace(std::size_t daemon, const std::string &text);

    ClusterOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{ std::chrono::seconds(100) };
    std::multimap<TimePoint, Action> m_actions;
    std::vector<Daemon> m_daemons;
    std::map<PartitionId, Partition> m_partitions;
    std::map<std::string, FakeEndpoint> m_endpoints; ///< Keyed by address.
    std::vector<CallerRequest> m_requests;
    std::map<std::string, std::uint32_t> m_starts; ///< Keyed by content.
    std::map<std::string, std::uint64_t> m_counts;
    std::vector<std::string> m_trace;
    Duration m_commitDelay{ 20'000 };
    std::uint64_t m_messages = 0;
    std::uint64_t m_journalWrites = 0;
    bool m_storeOutage = false;
};

} // namespace cowsliprock::testing
