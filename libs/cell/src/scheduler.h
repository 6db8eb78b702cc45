#pragma once

#include "advicechoice.h"
#include "advicequeue.h"
#include "fencedwriter.h"
#include "jobruns.h"
#include "jobtable.h"
#include "ordersender.h"
#include "passmeter.h"
#include "placement.h"
#include "stragglers.h"
#include "workerlinks.h"
#include "workerroster.h"
#include "workertable.h"

#include <cell/model.h>
#include <cell/policy.h>
#include <cell/ports.h>

#include <base/eventlog.h>
#include <base/metrics.h>
#include <eventloop/answertimes.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cowsliprock::cell {

/// Runs the jobs of one shard on the workers, for as long as this daemon owns the shard.
class Scheduler
{
public:
    struct Settings
    {
        std::uint32_t shard = 0;
        std::uint64_t ownershipRevision = 0;
        std::uint64_t generation = 0;
        Duration lease{};        ///< Of tasks on a worker, from each contact on.
        Duration longestLease{}; ///< That a worker grants at all.
        Duration statusKept{};   ///< How long the state of an ended job can be asked for.
        PlacementPolicy policy;
    };

    struct Ports
    {
        WorkerPort &workers;
        Adviser &advice;
        Timers &timers;
        EventLog &log;
        Metrics &metrics;
    };

    /// \p fenced is called when a worker shows that there is a newer owner.
    Scheduler(const Ports &ports, const Settings &settings, FencedWriter &writer,
              std::function<void()> fenced);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void configure(const CellConfiguration &configuration);

    void workerListed(const WorkerEntry &entry);
    void workerUnlisted(const std::string &id);
    /// The roster that an earlier owner stored: its workers may run tasks though discovery does
    /// not show them.
    void rosterRead(const std::string &text);

    /// A job was stored, or its record changed. \p progress is what an earlier owner noted.
    void jobStored(const JobRecord &record, std::uint64_t created,
                   const std::optional<JobProgress> &progress);
    void jobCancelled(const std::string &id);
    void jobRemoved(const std::string &id);

    /// All jobs and workers that were there at the take-over are known.
    void loaded();

    /// The state that a caller may be told; nothing if the job is not known here.
    [[nodiscard]] std::optional<JobStatus> status(const std::string &job) const;

    /// Accepted jobs of a queue of which no task has started.
    [[nodiscard]] std::uint64_t pending(const std::string &queue) const;

    [[nodiscard]] bool recovering() const noexcept { return m_recovering; }

private:
    /// Order in which jobs are looked at.
    struct MoreUrgent
    {
        JobOrder order;
        bool operator()(const Job *left, const Job *right) const;
    };

    using ActiveJobs = std::set<Job *, MoreUrgent>;

    /// Band and priority; the least goes first.
    using Rank = std::pair<int, std::uint32_t>;

    /// A ready step of a job, while a pass lasts.
    struct StepView
    {
        Job *job = nullptr;
        Occurrence *occurrence = nullptr;
        Step *step = nullptr;
        const StepSpec *spec = nullptr;
        std::uint32_t index = 0;
        int band = 0;

        [[nodiscard]] TaskId task(std::uint32_t taskIndex) const;
        [[nodiscard]] Rank rank() const noexcept;
        /// True if the task waits, its time has come, and nothing of it can run elsewhere.
        [[nodiscard]] bool startable(const Task &waiting, TimePoint now) const noexcept;
        [[nodiscard]] std::uint32_t startableTasks(TimePoint now) const noexcept;
    };

    // Which waiting tasks start where (schedulerpass.cpp). A pass looks at everything that waits
    // and takes longer the more that is. What an event has changed is looked at without waiting for
    // it.
    void requestPass();
    void requestLaterPass();
    void logLoad(const std::vector<StepView> &waiting);
    void pass();
    /// Looks at the ready steps of the job once the present event is handled.
    void lookSoon(const std::string &job);
    void lookAtChanged();
    /// True if the step is to be left to the next pass, since the last one found others that go
    /// first and cannot start yet.
    [[nodiscard]] bool mustWait(const StepView &view) const;
    void noteWaiting(const StepView &view);
    /// Starts what can be started of a step, or asks for advice. False if a part has to wait for
    /// room.
    bool tryStep(const StepView &view);
    [[nodiscard]] StepDemand demandOf(const StepView &view) const;
    void findUsableWorkers();
    /// Counts workers and steps that were looked at, which is what decisions cost.
    void noteLooks(std::size_t count) const;
    [[nodiscard]] std::vector<StepView> waitingSteps(const ActiveJobs &jobs) const;
    [[nodiscard]] int bandOf(const StepView &view, TimePoint now) const;
    /// Whether a ticket must be usable now, or may have to be renewed first.
    enum class Tickets { Usable, Any };
    /// Usable workers that suit the step, are not kept for others and that its advice allows.
    [[nodiscard]] std::vector<Worker *> candidates(const StepView &view, const StepDemand &demand,
                                                   Tickets tickets);
    bool placeTasks(const StepView &view, const StepDemand &demand);
    bool placeGang(const StepView &view, const StepDemand &demand);
    void reserveFor(const StepView &view);

    // Advice (scheduleradvice.cpp).
    [[nodiscard]] bool mayAsk(const AdviceSettings &settings, std::uint32_t tasks);
    void askAdvice(const StepView &view, const StepDemand &demand);
    [[nodiscard]] AdviceNeed adviceNeed(const StepView &view) const;
    /// As many workers as can be asked about and of which the step does not know whether it may use
    /// them; those with most room first, workers that are kept for gangs last.
    [[nodiscard]] std::vector<Worker *>
    unknownWorkers(const StepView &view, const StepDemand &demand, const AdviceNeed &need) const;
    [[nodiscard]] AdviceCandidates adviceCandidates(const StepView &view, const StepDemand &demand,
                                                    const AdviceNeed &need);
    void advised(const TaskId &stepId, const std::vector<std::string> &asked,
                 const Result<Advice> &advice);

    // Orders to workers (schedulerorders.cpp).
    void startTask(const StepView &view, std::uint32_t index, Worker &worker, std::uint32_t number);
    void startAnswered(const std::string &worker, std::int64_t born, const RunKey &key,
                       const StartOutcome &outcome);
    void startRejected(Worker &worker, const RunKey &key, const StartRejected &rejection);
    void giveUpUnknownStart(const std::string &worker, std::int64_t born, const RunKey &key);
    void stopRun(Worker &worker, Run &run, const char *reason);
    void stopAgain(Worker &worker, Run &run);

    // Runs, as orders and inventories tell of them (schedulerruns.cpp).
    /// The worker, if this life of it goes on, or null.
    [[nodiscard]] Worker *findLife(const std::string &worker, std::int64_t born);
    /// The run in this life of the worker, or null.
    [[nodiscard]] Run *findRun(const std::string &worker, std::int64_t born, const RunKey &key);
    /// Adds a run to the ledger of its worker and to the index of its job; returns it.
    Run &recordRun(Worker &worker, Run run);
    void confirmRunning(Run &run);
    void takeInventory(Worker &worker, const Inventory &inventory, TimePoint asked);
    void takeRunning(Worker &worker, const RunningTask &row);
    void adopt(Worker &worker, const RunningTask &row);
    void accountFor(const TaskId &adopted);
    void dropMissing(Worker &worker, const Inventory &inventory, TimePoint asked);
    void takeNewLife(Worker &worker, const Inventory &inventory, TimePoint asked);
    void endAllRuns(Worker &worker);
    void evacuate(Worker &worker);
    /// False if a run is expected to take longer.
    [[nodiscard]] bool endsWithin(const Run &run, Duration time) const;
    void loseRuns(Worker &worker, const std::vector<RunKey> &lost, const char *reason);
    void logEnd(const Worker &worker, const FinishedTask &end);
    void endRun(Worker &worker, const FinishedTask &end);
    void releaseRun(Worker &worker, const RunKey &key, std::string checkpoint);

    // Runs that fall behind (schedulerprogress.cpp).
    void checkProgress(Worker &worker);
    [[nodiscard]] bool fallenBehind(const Worker &worker, const Run &run);
    [[nodiscard]] StepPace paceOf(const Worker &worker, const Run &run);
    void beginElsewhere(Worker &worker, Run &run);
    void copyRunsOf(Worker &worker);
    void notePace(const Worker &worker, const Run &run, Duration projected);
    [[nodiscard]] bool takeOut(Worker &worker);

    // Jobs (schedulerjobs.cpp).
    void taskDone(const TaskId &task, std::uint32_t run);
    void taskFailed(Worker &worker, const TaskId &task, std::uint32_t run);
    /// Calls \p action for each run of the job, wherever it is.
    void forRunsOf(const std::string &job, const std::function<void(Worker &, Run &)> &action);
    void abortGang(const TaskId &member, std::uint32_t run, const char *reason);
    void stopOthers(const TaskId &task, std::uint32_t run);
    void stopAllRuns(const std::string &job, const char *reason);
    void endJob(Job &job, JobStatus status);
    void save(const Job &job, Urgency urgency, FencedWriter::Action durable = {});
    void retire(Job &job);
    void endDurable(const std::string &id);
    [[nodiscard]] bool mayStart(Job &job);
    void beginDueOccurrences(Job &job);
    void finishRecovery();
    /// Sets free the jobs of which nothing can be at work on a worker that is silent.
    void settleJobs();
    void abortPartialGangs(const Job &job);
    void checkRecovery();
    void collectGarbage();
    void cancel(Job &job);

    [[nodiscard]] TimePoint now() const noexcept { return m_ports.timers.now(); }

    Ports m_ports;
    Settings m_settings;
    FencedWriter &m_writer;
    std::function<void()> m_fenced;
    JobTable m_jobs;
    WorkerTable m_workers;
    JobRuns m_jobRuns;
    ActiveJobs m_activeJobs;
    std::optional<CellConfiguration> m_configuration;
    AnswerTimes m_answerTimes;
    OrderSender m_sender;
    WorkerLinks m_links;
    WorkerRoster m_roster;
    std::vector<Worker *> m_usable; ///< As of the last pass, or later; most free processor first.
    TimePoint m_usableFound{};
    Resources m_mostFree;        ///< The most of each resource that a usable worker has free.
    Reservations m_reservations; ///< Made by the last pass, and by questions since.
    /// The most urgent step that the last pass found waiting for room.
    std::optional<Rank> m_firstWaiting;
    std::set<std::string> m_changedJobs; ///< To be looked at.
    TimePoint m_loadLogged{};
    bool m_slowAdviceFull = false; ///< During a pass: no more slow questions can be asked.
    bool m_windowFull = false;     ///< Something waits since no more orders could be sent; none was
                                   ///< answered since.
    PassMeter m_passMeter;
    Duration m_lastPass{}; ///< How long the last pass took.
    bool m_passRequested = false;
    bool m_laterPassRequested = false;
    bool m_recovering = true;
    bool m_loaded = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
