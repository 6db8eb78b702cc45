#pragma once

#include "fakestore.h"

#include <kernel/kernel.h>

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Nine kernels with the configuration stage, a store, a network and operators under model time.
/// Random faults are chosen by a seed. Throws std::runtime_error when a guarantee is broken.
class Cell
{
public:
    using Duration = cowsliprock::Duration;
    using TimePoint = cowsliprock::TimePoint;

    struct Faults
    {
        double messageLoss = 0;
        double replyLoss = 0;
        bool outages =
            false; ///< Outages of the store, stale reads, late writes, separated regions.
        bool restarts = false;
    };

    struct Answer
    {
        int status = 0;
        std::string body;
    };

    Cell(std::uint64_t seed, Faults faults);

    void run(Duration time);
    void heal(); ///< Ends all faults for good.

    /// Calls an action and returns the name under which the answer will be found.
    std::string call(std::size_t daemon, const std::string &action, const std::string &body);
    [[nodiscard]] const Answer *answer(const std::string &operation) const;

    /// Lets an operator read the configuration and put a change of it in force.
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
        std::uint64_t bytes = 0; ///< Of store calls and peer messages but heartbeats.
        std::map<std::size_t, TimePoint> heard;
    };

    struct Step
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Step &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    [[nodiscard]] cowsliprock::KernelSettings settings(std::size_t daemon) const;
    [[nodiscard]] static std::size_t region(std::size_t daemon) { return daemon / 3; }
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] Duration between(int lowMs, int highMs);
    void after(Duration delay, std::function<void()> action);

    void restart(std::size_t daemon);
    void give(std::size_t daemon, const cowsliprock::Event &event);
    void give(std::size_t daemon, std::uint64_t incarnation, const cowsliprock::Event &event);
    void perform(std::size_t daemon, const cowsliprock::Effect &effect);
    void storeCall(std::size_t daemon, const cowsliprock::effect::StoreCall &call);
    void send(std::size_t daemon, const cowsliprock::effect::SendPeer &message);
    void tick(std::size_t daemon);
    void heartbeat(std::size_t from, std::size_t to);
    void injectFault();
    void operatorAnswered(const std::string &operation, const Answer &answer);
    void noteStored(const FakeStore::Row &row);
    void checkInForce(std::size_t daemon, const cowsliprock::Configuration &configuration);
    void checkPropagation(TimePoint acceptedAt, std::uint64_t accepted) const;

    std::mt19937_64 m_random;
    Faults m_faults;
    TimePoint m_now{ std::chrono::seconds(100) };
    TimePoint m_lastFault;
    std::uint64_t m_stepCount = 0;
    std::priority_queue<Step> m_steps;

    FakeStore m_store;
    bool m_storeDown = false;
    std::unique_ptr<FakeStore::Rows> m_staleRows;
    int m_separated = -1; ///< Region without a connection to the store and the other regions.

    std::vector<Daemon> m_daemons;
    std::uint64_t m_storedVersion = 0;
    std::uint64_t m_operationCount = 0;
    std::map<std::string, Answer> m_answers;
    std::map<std::string, std::int64_t> m_markers;           ///< By apply operation.
    std::map<std::string, std::size_t> m_readers;            ///< Reads that lead to a change.
    std::map<std::uint64_t, std::int64_t> m_markerOfVersion; ///< Answered as accepted.
    std::map<std::uint64_t, std::int64_t> m_markerInForce;   ///< Seen in force.
    std::map<std::int64_t, std::string> m_refusedMarkers;
    std::size_t m_conflicts = 0;
};
