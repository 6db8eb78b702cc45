#pragma once

#include "fakestore.h"

#include <kernel/kernel.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::test {

using Seconds = std::chrono::duration<double>;

/// Simulates several daemons that run only the ownership stage, with a fake store and a network.
/// After each event it checks that at most one daemon owns a partition and that the journal keeps
/// all entries that were reported durable. Times are true (simulated) times unless they belong to
/// a daemon, whose clock has its own offset and rate.
class Cluster
{
public:
    /// Faults injected into one daemon's connections to the store and to its peers.
    struct Faults
    {
        bool storeDown = false;
        double loseReplies = 0;    ///< Probability that a reply is lost after the call took effect.
        double lateWrites = 0;     ///< Probability that a failed write takes effect later.
        Duration maxLateness{ 0 }; ///< Maximum delay of late writes.
        Duration maxStoreDelay{ std::chrono::milliseconds(10) };
        double loseMessages = 0;
        Duration maxMessageDelay{ std::chrono::milliseconds(5) };
    };

    struct Options
    {
        std::uint64_t seed = 1;
        std::size_t daemons = 3;
        std::size_t dataCentres = 1;
        std::uint32_t partitions = 6; ///< Per data centre.
        Duration tick{ std::chrono::milliseconds(100) };
        bool skewClocks = false;
        bool trace = false;
        std::function<void(KernelSettings &)> change;
    };

    /// Ownership of a partition by one daemon in one epoch. All times are true times.
    struct Tenure
    {
        std::size_t daemon = 0;
        std::uint64_t run = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t epoch = 0;
        TimePoint usableFrom;
        TimePoint validUntil;
        TimePoint drainedAt = TimePoint::max();
        std::vector<JournalEntry> inherited;
    };

    struct Daemon
    {
        std::unique_ptr<Kernel> kernel;
        DaemonIdentity identity;
        std::uint64_t run = 0; ///< Number of starts; events of previous runs are dropped.
        Faults faults;
        double rate = 1.0;
        Duration offset{ 0 };
        TimePoint pausedUntil;
        int networkGroup = 0; ///< Daemons in different groups cannot exchange messages.
        TimePoint validUntil; ///< In true time.
        bool storeReachable = false;
        bool ready = false;
        bool draining = false;
        bool exited = false;
        std::map<PartitionId, Tenure *> holds;
        std::map<std::uint64_t, bool> results; ///< Journal results by ticket.
        std::uint64_t lastIncarnation = 0;
        std::map<std::string, std::uint64_t> calls; ///< Number of store calls by operation.
        std::string lastAnswer;
    };

    explicit Cluster(Options options);

    void start(std::size_t index);
    void kill(std::size_t index);
    void pause(std::size_t index, Duration time);
    void drain(std::size_t index, bool drained = true);
    void inject(std::size_t index, const Event &event);
    void append(std::size_t index, const PartitionId &partition, const std::string &identity,
                std::uint64_t ticket);
    void setVms(const std::set<std::size_t> &listed);
    void run(Duration time);
    void forEach(const std::function<void(Daemon &)> &change);

    [[nodiscard]] Daemon &daemon(std::size_t index) { return m_daemons[index]; }
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    [[nodiscard]] FakeStore &store() noexcept { return m_store; }
    [[nodiscard]] std::vector<PartitionId> usablePartitions(std::size_t index) const;
    [[nodiscard]] std::size_t usableCount() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_daemons.size(); }
    [[nodiscard]] std::size_t tenureCount() const;
    [[nodiscard]] const std::vector<std::unique_ptr<Tenure>> &tenures(const PartitionId &partition)
    {
        return m_tenures[partition];
    }
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    [[nodiscard]] const std::vector<std::string> &trace() const noexcept { return m_trace; }

    /// Handles an event observed by the probe stage.
    void observe(std::size_t index, const Event &event);

private:
    struct Action
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const Action &other) const noexcept
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    void schedule(Duration delay, std::function<void()> run);
    void deliver(std::size_t index, std::uint64_t run, const Event &event);
    void tick(std::size_t index, std::uint64_t run);
    void perform(std::size_t index, const Effect &effect);
    void callStore(std::size_t index, const effect::StoreCall &call);
    void sendMessage(std::size_t index, const effect::SendPeer &send);
    void checkExclusion(const PartitionId &partition);
    void checkIdentity(const PartitionId &partition, const Tenure &tenure);
    void checkInherited(const PartitionId &partition, const Tenure &tenure);
    void violation(const std::string &text);
    void recordTrace(const std::string &text);
    [[nodiscard]] TimePoint localTime(const Daemon &daemon) const;
    [[nodiscard]] TimePoint trueTime(const Daemon &daemon, TimePoint local) const;
    [[nodiscard]] KernelSettings settings(std::size_t index) const;
    [[nodiscard]] Location location(std::size_t index) const;
    [[nodiscard]] Duration randomDelay(Duration max);
    [[nodiscard]] bool randomBool(double probability);

    Options m_options;
    std::mt19937_64 m_random;
    FakeStore m_store;
    std::vector<Daemon> m_daemons;
    TimePoint m_now{ std::chrono::seconds(10'000) };
    std::uint64_t m_lastNumber = 0;
    std::priority_queue<Action> m_actions;
    std::map<PartitionId, std::vector<std::unique_ptr<Tenure>>> m_tenures;
    std::map<PartitionId, std::set<std::string>> m_durable;
    std::map<std::uint64_t, JournalEntry> m_tickets;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_trace;
};

} // namespace cowsliprock::test
