#pragma once

#include "fakeworker.h"

#include <kernel/kernel.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cowsliprock::test {

/// Fault probabilities, from 0 to 1.
struct Faults
{
    double lostMessages = 0;
    double duplicatedMessages = 0;
    double lateMessages = 0;      ///< Delayed by up to 3 s.
    double lostWorkerAnswers = 0; ///< The call takes effect but its answer is lost.
    double lateWorkerCalls = 0;   ///< Calls that reach the worker up to 7 s after they were sent.
    double lostStoreReplies = 0;
    double refusedJournal = 0; ///< Journal entries that never become durable.
};

/// Deterministic simulation of a cluster: several kernels with the scheduling stage, and fakes of
/// the ownership stage (partition assignment and journal), the store and the workers. All
/// randomness is derived from one seed.
class World
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        int daemons = 3;
        int workers = 9;
        std::uint32_t partitions = 6;
    };

    explicit World(const Options &options);

    /// Advances the simulated time. The guarantees are checked continuously.
    void run(Duration time);
    [[nodiscard]] int daemons() const noexcept { return m_options.daemons; }
    void setConfiguration(Configuration configuration);
    [[nodiscard]] FakeWorker &worker(int number) { return m_workers.at(workerName(number)); }
    [[nodiscard]] static WorkerName workerName(int number);

    /// Sends an operator call to a daemon. The result is returned by answer() once it has arrived.
    OperationId call(int daemon, const std::string &action, const std::string &body);
    struct Answer
    {
        int httpStatus = 0;
        std::string body;
        TimePoint at;
    };
    [[nodiscard]] std::optional<Answer> answer(const OperationId &operation) const;

    /// Sends an operator call and runs until the answer has arrived or 6 s have passed.
    Answer ask(int daemon, const std::string &action, const std::string &body);

    /// Pauses the daemon: it receives no renewals and handles no events until resume().
    void pause(int daemon);
    /// Resumes the daemon: it handles the queued events at the current time, and restarts if its
    /// partitions have been reassigned.
    void resume(int daemon);

    /// Drains the daemon, transfers its partitions once it is drained, and restarts it.
    void drain(int daemon);
    [[nodiscard]] bool paused(int daemon) const
    {
        return m_nodes.at(static_cast<std::size_t>(daemon)).paused;
    }

    /// Ends the worker's VM and removes it from the VM list.
    void endVm(int number);
    void setLeaving(int number);

    /// Number of effects by name, and counter values by metric, of all daemons since the start.
    [[nodiscard]] std::uint64_t effects(const std::string &name) const;
    [[nodiscard]] std::uint64_t allEffects() const; ///< Excludes counters and histograms.
    [[nodiscard]] std::uint64_t counter(const std::string &metric) const;
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    [[nodiscard]] std::string trace() const;
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    [[nodiscard]] int liveTasks(const JobId &job) const;
    [[nodiscard]] std::optional<TimePoint> firstStart(const JobId &job) const;

    /// Requires that no task of the job starts at or after \p time, because its cancellation was
    /// confirmed.
    void forbidStartsAfter(const JobId &job, TimePoint time) { m_noStartsAfter[job] = time; }

    Faults faults;
    bool storeDown = false;

private:
    struct Node
    {
        KernelSettings settings;
        std::unique_ptr<Kernel> kernel;
        std::vector<Event> waiting; ///< Events queued while paused.
        bool paused = false;
        TimePoint validUntil;
    };
    struct PartitionState
    {
        std::size_t owner = 0;
        std::uint64_t epoch = 1;
        std::vector<JournalEntry> journal;
    };
    struct StoreRow
    {
        std::uint64_t version = 0;
        std::string value;
    };

    void at(TimePoint time, std::function<void()> action);
    void deliver(std::size_t node, const Event &event);
    void perform(std::size_t node, const Effect &effect);
    template <typename T>
    void on(std::size_t, const T &)
    { }
    void on(std::size_t node, const effect::Count &effect);
    void on(std::size_t node, const effect::SendPeer &effect);
    void on(std::size_t node, const effect::StoreCall &effect);
    void on(std::size_t node, const effect::PollWorker &effect);
    void on(std::size_t node, const effect::StartTask &effect);
    void on(std::size_t node, const effect::StopTask &effect);
    void on(std::size_t node, const effect::AnswerOperator &effect);
    void callWorker(std::size_t node, TimePoint validUntil,
                    const std::function<void(TimePoint sentAt, bool answered)> &call,
                    const Event &notSent);
    void sendMessage(std::size_t node, const effect::SendPeer &effect);
    void reply(std::size_t node, const Event &event, Duration delay);
    void journal(std::size_t node, const event::JournalAppend &append);
    void handleRaised(std::size_t node, const Event &event);
    [[nodiscard]] event::StoreReply storeReply(const effect::StoreCall &effect);
    void started(const WorkerName &worker, const TaskLaunch &launch);
    void checkCapacity(const WorkerName &worker);
    void restart(std::size_t node);
    void assignPartition(const PartitionId &partition, std::size_t node, TimePoint usableFrom);
    void publishOwners();
    void publishVms();
    void renew();
    void reassignPartitions(std::size_t node);
    void transferPartitions(std::size_t node);
    void violation(const std::string &text);
    [[nodiscard]] bool occurs(double share);
    [[nodiscard]] Duration randomBetween(Duration low, Duration high);

    Options m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{ std::chrono::seconds(1000) };
    std::multimap<TimePoint, std::function<void()>> m_actions;
    std::vector<Node> m_nodes;
    std::map<PartitionId, PartitionState> m_partitions;
    std::map<std::string, StoreRow> m_store;
    std::map<WorkerName, FakeWorker> m_workers;
    std::vector<VmEntry> m_vms;
    std::map<OperationId, Answer> m_answers;
    std::map<std::string, std::uint64_t> m_effects;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<JobId, TimePoint> m_noStartsAfter;
    std::map<JobId, TimePoint> m_firstStarts;
    std::map<AttemptId, TimePoint> m_granted;
    ConfigurationPointer m_configuration;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_trace;
    std::uint64_t m_nextOperation = 0;
};

} // namespace cowsliprock::test
