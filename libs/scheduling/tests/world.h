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

/// How often things go wrong, as shares.
struct Faults
{
    double lostMessages = 0;
    double duplicatedMessages = 0;
    double lateMessages = 0;      ///< Up to 3 s late.
    double lostWorkerAnswers = 0; ///< The call took effect, its answer is lost.
    double lateWorkerCalls = 0;   ///< Bytes that reach the worker up to 7 s after they were sent.
    double lostStoreReplies = 0;
    double refusedJournal = 0; ///< Entries that never become durable.
};

/// Several kernels with the scheduling stage, a fake ownership that gives and takes partitions and
/// keeps the journal, a fake store and fake workers. Everything is driven by one seed.
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

    /// Runs until the model time has advanced; checks the guarantees all the time.
    void run(Duration time);
    [[nodiscard]] int daemons() const noexcept { return m_options.daemons; }
    void setConfiguration(Configuration configuration);
    [[nodiscard]] FakeWorker &worker(int number) { return m_workers.at(workerName(number)); }
    [[nodiscard]] static WorkerName workerName(int number);

    /// Asks a daemon; the answer arrives in answers().
    OperationId call(int daemon, const std::string &action, const std::string &body);
    struct Answer
    {
        int httpStatus = 0;
        std::string body;
        TimePoint at;
    };
    [[nodiscard]] std::optional<Answer> answer(const OperationId &operation) const;

    /// Asks and runs until the answer is there or 6 s have passed.
    Answer ask(int daemon, const std::string &action, const std::string &body);

    /// The daemon gets no renewals any more and handles no events until thaw().
    void freeze(int daemon);
    /// Handles what has waited, with the present time; then loses its partitions if others took
    /// them, and restarts.
    void thaw(int daemon);

    /// Drains the daemon, hands its partitions over when it reports so, and restarts it.
    void drain(int daemon);
    [[nodiscard]] bool frozen(int daemon) const
    {
        return m_nodes.at(static_cast<std::size_t>(daemon)).frozen;
    }

    /// The worker's VM leaves the list and ends.
    void endVm(int number);
    void setLeaving(int number);

    /// Effects by name, and counters by metric, of all daemons since the start.
    [[nodiscard]] std::uint64_t effects(const std::string &name) const;
    [[nodiscard]] std::uint64_t allEffects() const; ///< But for counters and histograms.
    [[nodiscard]] std::uint64_t counter(const std::string &metric) const;
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    [[nodiscard]] std::string trace() const;
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    [[nodiscard]] int liveTasks(const JobId &job) const;
    [[nodiscard]] std::optional<TimePoint> firstStart(const JobId &job) const;

    /// Jobs whose cancellation was answered, from which time on no task may start.
    void noStartsFrom(const JobId &job, TimePoint time) { m_noStartsFrom[job] = time; }

    Faults faults;
    bool storeDown = false;

private:
    struct Node
    {
        KernelSettings settings;
        std::unique_ptr<Kernel> kernel;
        std::vector<Event> waiting; ///< While frozen.
        bool frozen = false;
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
    void raised(std::size_t node, const Event &event);
    [[nodiscard]] event::StoreReply storeReply(const effect::StoreCall &effect);
    void started(const WorkerName &worker, const TaskLaunch &launch);
    void checkWorker(const WorkerName &worker);
    void restart(std::size_t node);
    void givePartition(const PartitionId &partition, std::size_t node, TimePoint usableFrom);
    void tellOwners();
    void tellVms();
    void renew();
    void takeOver(std::size_t node);
    void handOver(std::size_t node);
    void violation(const std::string &text);
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] Duration between(Duration low, Duration high);

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
    std::map<JobId, TimePoint> m_noStartsFrom;
    std::map<JobId, TimePoint> m_firstStarts;
    std::map<AttemptId, TimePoint> m_granted;
    ConfigurationPointer m_configuration;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_trace;
    std::uint64_t m_nextOperation = 0;
};

} // namespace cowsliprock::test
