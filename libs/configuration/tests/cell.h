#pragma once

#include "fakestore.h"

#include <kernel/kernel.h>

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Deterministic simulation of nine kernels with the configuration stage, a store, a network and
/// operators in simulated time. Faults are chosen at random from a seed. Throws std::runtime_error
/// when a guarantee is violated.
class Cell
{
public:
    using Duration = cowsliprock::Duration;
    using TimePoint = cowsliprock::TimePoint;

    struct Faults
    {
        double messageLoss = 0;
        double replyLoss = 0;
        bool outages = false; ///< Store outages, stale reads, late writes and region partitions.
        bool restarts = false;
    };

    struct Answer
    {
        int status = 0;
        std::string body;
    };

    Cell(std::uint64_t seed, Faults faults);

    void run(Duration time);
    void heal(); ///< Ends all faults permanently.

    /// Issues an operator call and returns its operation identifier for answer().
    std::string call(std::size_t daemon, const std::string &action, const std::string &body);
    [[nodiscard]] const Answer *answer(const std::string &operation) const;

    /// Makes an operator read the configuration and apply a change to it.
    void change(std::size_t daemon);

    void checkConverged() const;
    [[nodiscard]] std::uint64_t version(std::size_t daemon) const
    {
        return m_daemons[daemon].version;
    }
    [[nodiscard]] std::uint64_t storedVersion() const { return m_storedVersion; }
    [[nodiscard]] std::uint64_t bytes(std::size_t daemon) const { return m_daemons[daemon].bytes; }
    void resetBytes();
    [[nodiscard]] std::size_t acceptedAnswers() const { return m_markerOfVersion.size(); }
    [[nodiscard]] std::size_t conflictAnswers() const { return m_conflicts; }
    static constexpr std::size_t daemonCount = 9;

private:
    struct Daemon
    {
        std::unique_ptr<cowsliprock::Kernel> kernel;
        std::uint64_t incarnation = 0;
        TimePoint startedAt;
        std::uint64_t version = 0;
        std::uint64_t bytes = 0; ///< Store calls and peer messages, without heartbeats.
        std::map<std::size_t, TimePoint> lastHeartbeats;
    };

    struct ScheduledAction
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const ScheduledAction &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    [[nodiscard]] cowsliprock::KernelSettings settings(std::size_t daemon) const;
    [[nodiscard]] static std::size_t region(std::size_t daemon) { return daemon / 3; }
    [[nodiscard]] bool randomChance(double probability);
    [[nodiscard]] Duration randomDuration(int lowMs, int highMs);
    void schedule(Duration delay, std::function<void()> action);

    void restart(std::size_t daemon);
    void deliver(std::size_t daemon, const cowsliprock::Event &event);
    void deliver(std::size_t daemon, std::uint64_t incarnation, const cowsliprock::Event &event);
    void perform(std::size_t daemon, const cowsliprock::Effect &effect);
    void storeCall(std::size_t daemon, const cowsliprock::effect::StoreCall &call);
    void send(std::size_t daemon, const cowsliprock::effect::SendPeer &message);
    void tick(std::size_t daemon);
    void heartbeat(std::size_t from, std::size_t to);
    void injectFault();
    void operatorAnswered(const std::string &operation, const Answer &answer);
    void onStoredWrite(const FakeStore::Row &row);
    void checkInForce(std::size_t daemon, const cowsliprock::Configuration &configuration);
    void checkPropagation(TimePoint acceptedAt, std::uint64_t accepted) const;

    std::mt19937_64 m_random;
    Faults m_faults;
    TimePoint m_now{ std::chrono::seconds(100) };
    TimePoint m_lastFault;
    std::uint64_t m_actionCount = 0;
    std::priority_queue<ScheduledAction> m_schedule;

    FakeStore m_store;
    bool m_storeDown = false;
    std::unique_ptr<FakeStore::Rows> m_staleRows;
    int m_isolatedRegion = -1; ///< Region cut off from the store and the other regions; -1 if none.

    std::vector<Daemon> m_daemons;
    std::uint64_t m_storedVersion = 0;
    std::uint64_t m_operationCount = 0;
    std::map<std::string, Answer> m_answers;
    std::map<std::string, std::int64_t> m_markers;           ///< By apply operation.
    std::map<std::string, std::size_t> m_pendingReads;       ///< Daemon, by read operation.
    std::map<std::uint64_t, std::int64_t> m_markerOfVersion; ///< Changes answered as accepted.
    std::map<std::uint64_t, std::int64_t> m_markerInForce;   ///< Changes observed in force.
    std::map<std::int64_t, std::string> m_refusedMarkers;
    std::size_t m_conflicts = 0;
};
