#pragma once

#include "advicechoice.h"
#include "advicequeue.h"
#include "customerquotas.h"
#include "customershares.h"
#include "fencedwriter.h"
#include "gangplan.h"
#include "jobruns.h"
#include "jobtable.h"
#include "ordersender.h"
#include "passmeter.h"
#include "placement.h"
#include "stragglers.h"
#include "workerlinks.h"
#include "workerroster.h"
#include "workerspeeds.h"
#include "workertable.h"

#include <cell/model.h>
#include <cell/policy.h>
#include <cell/ports.h>

#include <base/eventlog.h>
#include <base/metrics.h>
#include <eventloop/responsetimes.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
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
        bool contested = false;     ///< An earlier owner may still act on workers.
        Duration lease{};           ///< Task lease on a worker, renewed at each contact.
        Duration maxLease{};        ///< Upper bound that workers enforce on any lease.
        Duration stopTimeout{};     ///< Maximum time that a worker takes to stop a run.
        Duration statusRetention{}; ///< Retention of the status of ended jobs.
        PlacementPolicy policy;
    };

    struct Ports
    {
        WorkerPort &workers;
        Adviser &advice;
        LeaderLease &lease;
        Timers &timers;
        EventLog &log;
        Metrics &metrics;
    };

    /// Calls \p fenced when a worker reports a fencing token of a newer owner.
    Scheduler(const Ports &ports, const Settings &settings, FencedWriter &writer,
              std::function<void()> fenced);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void configure(const CellConfiguration &configuration);

    void workerListed(const WorkerEntry &entry);
    void workerUnlisted(const std::string &id);
    /// Restores the roster stored by a previous owner. Its workers may still run tasks even if
    /// discovery does not list them.
    void restoreRoster(const std::string &text);

    /// Handles a new or changed job record. \p progress is the progress stored by a previous owner.
    void jobStored(const JobRecord &record, std::uint64_t created,
                   const std::optional<JobProgress> &progress);
    void jobCancelled(const std::string &id);
    void jobRemoved(const std::string &id);

    /// Called once all jobs and workers that existed at the take-over have been loaded.
    void loaded();

    /// Durable status of the job as reported to callers; nothing if the job is unknown.
    [[nodiscard]] std::optional<JobStatus> status(const std::string &job) const;

    /// Number of accepted jobs in the queue that have not started any task.
    [[nodiscard]] std::uint64_t pending(const std::string &queue) const;

    /// How long the excess work of the job's customer waits; nothing if the customer is within its
    /// guaranteed rate or has no excess work waiting.
    [[nodiscard]] std::optional<Duration> excessDelay(const std::string &job) const;

    [[nodiscard]] bool recovering() const noexcept { return m_recovering; }

    /// True while a run is being stopped. Its worker need not list it, so that a successor would
    /// take its capacity for free.
    [[nodiscard]] bool stoppingRuns() const;

private:
    /// Order in which jobs are evaluated.
    struct MoreUrgent
    {
        JobOrder order;
        bool operator()(const Job *left, const Job *right) const;
    };

    /// Whether a step can still end within the objective of its job, or be of any use.
    static constexpr int bandOnTime = 0;
    static constexpr int bandLate = 1;
    static constexpr int bandExpired = 2;
    static constexpr std::size_t bandCount = 3;
    /// The bands on time and late for conforming jobs, then for excess jobs, then the last band.
    static constexpr std::size_t classCount = 5;

    using ActiveJobs = std::set<Job *, MoreUrgent>;

    /// Class, priority and weighted share of the customer; lower values are scheduled first.
    using Rank = std::tuple<int, std::uint32_t, double>;

    /// A ready step of a job, valid for the duration of one pass.
    struct StepView
    {
        Job *job = nullptr;
        Occurrence *occurrence = nullptr;
        Step *step = nullptr;
        const StepSpec *spec = nullptr;
        std::uint32_t index = 0;
        int band = 0;
        std::uint32_t startableCount = 0; ///< Tasks that were startable when it was listed.
        double share = 0; ///< Weighted share that its customer uses; 0 without customers.

        [[nodiscard]] TaskId task(std::uint32_t taskIndex) const;
        /// Jobs within the guaranteed rate of their customer precede the others, but for those that
        /// have expired.
        [[nodiscard]] int serviceClass() const noexcept;
        [[nodiscard]] Rank rank() const noexcept;
        /// True if the task is waiting or needs a copy, its earliest start time has passed, and no
        /// other run of it can still be active.
        [[nodiscard]] bool startable(const Task &waiting, TimePoint now) const noexcept;
        [[nodiscard]] std::uint32_t startableTasks(TimePoint now) const noexcept;
    };

    // Placement of waiting tasks (schedulerpass.cpp). The cost of a pass grows with the backlog, so
    // jobs changed by an event are evaluated on their own, without waiting for the next pass.
    void requestPass();
    void requestDelayedPass();
    void requestPassAfter(Duration delay);
    void logLoad(const std::vector<StepView> &waiting);
    void runPass();
    /// Evaluates the ready steps of the job after the current event has been handled.
    void scheduleJobEvaluation(const std::string &job);
    void evaluateChangedJobs();
    /// True if the last pass left a step that ranks higher than this one waiting for room; this
    /// step is then left to the next pass.
    [[nodiscard]] bool isOutranked(const StepView &view) const;
    void recordBlockedStep(const StepView &view);
    enum class Placement {
        Complete,     ///< No task waits for room or for the quota.
        WaitsForRoom, ///< Some tasks have to wait for room on the workers.
        WaitsForQuota ///< Some tasks have to wait until their customer uses less of its quota.
    };
    /// Starts the tasks of a step that can be placed, or requests advice.
    Placement tryPlaceStep(const StepView &view);
    [[nodiscard]] StepDemand demandOf(const StepView &view) const;
    void refreshUsableWorkers();
    /// Counts inspected workers and steps, as a measure of the cost of decisions.
    void countInspections(std::size_t count) const;
    [[nodiscard]] std::vector<StepView> waitingSteps(const ActiveJobs &jobs) const;
    /// Returns the step if it has tasks to start.
    [[nodiscard]] std::optional<StepView> waitingStep(Job &job, Occurrence &occurrence,
                                                      std::uint32_t index, TimePoint now) const;
    /// Returns the step if its job is active and it has tasks to start.
    [[nodiscard]] std::optional<StepView> waitingStep(const TaskId &step);
    [[nodiscard]] int bandOf(const StepView &view, TimePoint now) const;
    /// Estimated time from the start of the step to the end of its job.
    [[nodiscard]] static Duration remainingPath(const StepView &view);
    /// Selects workers whose ticket is usable now, or also those whose ticket has to be renewed.
    enum class TicketFilter { Usable, Any };
    /// Usable workers that are compatible with the step and allowed by the advice for the step.
    [[nodiscard]] std::vector<Worker *> candidates(const StepView &view, const StepDemand &demand,
                                                   TicketFilter filter);
    Placement placeTasks(const StepView &view, const StepDemand &demand);
    Placement placeGang(const StepView &view, const StepDemand &demand);

    // Room for waiting gangs (schedulergangs.cpp).
    /// Keeps the room of all reservations during a pass and until the next one.
    void renewGangReservations();
    /// Plans the gang again, on other workers if it can start earlier there.
    void renew(GangReservation reservation, const StepView &view);
    /// Reserves room for a gang without a reservation.
    void reserveForGang(const StepView &view);
    /// Adds the reservation; returns false if enough other gangs have room reserved.
    bool reserve(GangReservation reservation, const StepView &view, const StepDemand &demand,
                 const GangPlan &plan);
    void logReservation(const char *event, const GangReservation &reservation);
    /// True if the job is expected to meet its objective if the gang starts as planned.
    [[nodiscard]] bool endsInTime(const StepView &view, const GangPlan &plan) const;
    [[nodiscard]] std::optional<GangPlan> planOnAllWorkers(const StepView &view,
                                                           const StepDemand &demand);
    [[nodiscard]] std::optional<GangPlan> planFor(const StepView &view, const StepDemand &demand,
                                                  const std::vector<Worker *> &workers) const;
    /// Keeps room for a gang while its tickets are renewed.
    void keepRoomOnRenewingWorkers(const StepView &view, const StepDemand &demand);
    /// Keeps work from the planned room that is expected to end after the planned start. Once that
    /// has passed, no work may use what the gang needs.
    void keepRoom(const StepView &view, const StepDemand &demand, const GangPlan &plan,
                  const GangReservation &reservation);
    /// False for a while if the gang has had room for long without being started.
    [[nodiscard]] bool mayKeepRoom(Step &step, const GangPlan &plan) const;
    /// Those of the workers that the step may still use.
    [[nodiscard]] std::vector<Worker *> plannedWorkers(const StepView &view,
                                                       const StepDemand &demand,
                                                       const std::vector<std::string> &ids);
    [[nodiscard]] static std::vector<std::string> workersOf(const GangPlan &plan);

    // Quotas of customers (schedulerquotas.cpp).
    /// Number of further tasks of the step that the quota of its customer permits now.
    [[nodiscard]] std::uint32_t quotaSlots(const StepView &view) const;
    /// True if the quota permits no task of the step, or not the whole gang.
    [[nodiscard]] bool reachesQuota(const StepView &view) const;
    /// Keeps less urgent steps of the customer from using what the gang needs of the quota.
    void reserveQuotaForGang(const StepView &view);
    /// Capacity of the workers that have not reported since the take-over.
    [[nodiscard]] Resources unreportedCapacity() const;
    void updateUnreportedUsage();

    // Shares of customers (schedulershares.cpp).
    /// Determines the customer of the job and whether the job exceeds its guaranteed rate.
    void classify(Job &job);
    /// Writes the load of each customer to the log and to the metrics.
    void logCustomers(const std::vector<StepView> &waiting) const;
    /// Determines how long the excess work of each customer has waited for its first task.
    void updateExcessDelays(const std::vector<StepView> &waiting);
    /// Iterates over waiting steps that are ordered by class, priority and arrival. With customers,
    /// those of equal class and priority are ordered by the shares of their customers.
    class StepOrder
    {
    public:
        StepOrder(const Scheduler &scheduler, std::vector<StepView> &views);
        /// The next step, or null.
        [[nodiscard]] const StepView *next();

    private:
        [[nodiscard]] double shareOf(const StepView &view);
        /// Adds the next steps of equal class and priority.
        void beginGroup();

        const Scheduler &m_scheduler;
        std::vector<StepView> &m_views;
        std::size_t m_position = 0; ///< First step that is not yet returned or part of a group.
        std::vector<std::optional<double>> m_shares; ///< By customer, as far as needed.
        FairOrder m_order;
    };

    // Advice (scheduleradvice.cpp).
    [[nodiscard]] bool canRequestAdvice(const AdviceSettings &settings, std::uint32_t tasks);
    void requestAdvice(const StepView &view, const StepDemand &demand);
    [[nodiscard]] AdviceDemand adviceNeed(const StepView &view) const;
    /// Workers without a known decision for the step, up to the number that one request can name.
    /// Workers of the preferred speed and with the most free capacity come first, those reserved
    /// for gangs last.
    [[nodiscard]] std::vector<Worker *>
    unknownWorkers(const StepView &view, const StepDemand &demand, const AdviceDemand &need) const;
    [[nodiscard]] AdviceCandidates adviceCandidates(const StepView &view, const StepDemand &demand,
                                                    const AdviceDemand &need);
    void handleAdvice(const TaskId &stepId, const std::vector<std::string> &queried,
                      const Result<Advice> &advice);

    // Orders to workers (schedulerorders.cpp).
    void startTask(const StepView &view, std::uint32_t index, Worker &worker, std::uint32_t number);
    /// True if the order of the run may be sent again while it has no answer.
    [[nodiscard]] bool mayRepeatStart(const Run &run);
    void handleStartOutcome(const std::string &worker, std::int64_t born, const RunKey &key,
                            const StartOutcome &outcome);
    void handleStartRejection(Worker &worker, const RunKey &key, const StartRejected &rejection);
    void abandonUnknownStart(const std::string &worker, std::int64_t born, const RunKey &key);
    void stopRun(Worker &worker, Run &run, const char *reason);
    void sendStop(Worker &worker, Run &run);

    // Run state, updated from orders and inventories (schedulerruns.cpp).
    /// Returns the worker if it still has this incarnation, or null.
    [[nodiscard]] Worker *findIncarnation(const std::string &worker, std::int64_t born);
    /// Returns the run in this incarnation of the worker, or null.
    [[nodiscard]] Run *findRun(const std::string &worker, std::int64_t born, const RunKey &key);
    /// Adds a run to its worker and to the index of its job, and returns it.
    Run &recordRun(Worker &worker, Run run);
    void confirmRunning(Run &run);
    void processInventory(Worker &worker, const Inventory &inventory, TimePoint requestedAt);
    void processRunningTask(Worker &worker, const RunningTask &row);
    void adoptRun(Worker &worker, const RunningTask &row);
    void logListedRun(const Worker &worker, const RunningTask &row, const Job *job,
                      const Task *task, bool wanted);
    void markReconciled(const TaskId &adopted);
    void releaseMissingRuns(Worker &worker, const Inventory &inventory, TimePoint requestedAt);
    /// Stops a run that its worker does not list any more, which shows whether it has ended.
    void stopUnlistedRun(Worker &worker, const RunKey &key);
    /// Logs that runs are missing from an inventory that does not list all ends.
    void logAwaitedEnds(const Worker &worker, std::size_t missing);
    void evacuate(Worker &worker);
    /// Specification of the step of the run, or null if its job is not known.
    [[nodiscard]] const StepSpec *specOf(const Run &run) const;
    /// Nothing if the run does not end by itself.
    [[nodiscard]] std::optional<Duration> expectedTimeLeft(const StepSpec &spec,
                                                           const Run &run) const;
    /// Nothing if it is not known whether the run will end.
    [[nodiscard]] std::optional<TimePoint> expectedEnd(const Run &run) const;
    /// Expected end of a task that is started now; the maximum if it does not end by itself.
    [[nodiscard]] TimePoint expectedEnd(const StepSpec &spec) const;
    /// Returns false if the run is expected to take longer than \p time.
    [[nodiscard]] bool finishesWithin(const Run &run, Duration time) const;
    void logRunEnd(const Worker &worker, const FinishedTask &end);
    /// The evidence of a failed run; \p run is null if it is not known.
    [[nodiscard]] FailedRun failedRun(const FinishedTask &end, const Run *run) const;
    void handleRunEnd(Worker &worker, const FinishedTask &end);
    void releaseRun(Worker &worker, const RunKey &key, std::string checkpoint);

    // Runs lost with their worker (schedulerlosses.cpp).
    /// How runs were lost with their worker.
    struct WorkerLoss
    {
        const char *reason;
        std::optional<TimePoint> crashedAt; ///< When it crashed, if that is known.
    };
    void handleReplacement(Worker &worker);
    void handleNewIncarnation(Worker &worker, const Inventory &inventory, TimePoint requestedAt);
    void releaseLostRuns(Worker &worker, const std::vector<RunKey> &lost, const WorkerLoss &loss);
    void releaseAllRuns(Worker &worker, const WorkerLoss &loss);
    /// Counts the loss of a worker for a run that it had, and gives the task up if it is likely to
    /// crash its workers.
    void recordCrash(const Worker &worker, const Run &run, const WorkerLoss &loss);

    // Straggler handling (schedulerprogress.cpp).
    void checkProgress(Worker &worker);
    [[nodiscard]] RunPace runPace(const Worker &worker, const Run &run);
    /// Runs that have stalled, and those that have fallen behind on a slow worker.
    [[nodiscard]] std::vector<RunKey> stragglersOf(const Worker &worker);
    [[nodiscard]] StepPace paceOf(const Worker &worker, const Run &run);
    void restartElsewhere(Worker &worker, Run &run);
    void duplicateSpeculativeRuns(Worker &worker);
    void recordPace(const Worker &worker, const Run &run, Duration projected);
    /// True if one more worker of its service may be excluded for the outcomes of its runs.
    [[nodiscard]] bool mayExclude(const Worker &worker) const;
    [[nodiscard]] bool excludeSlowWorker(Worker &worker);
    void quarantineFailingWorker(Worker &worker);

    // Speeds of workers (schedulerspeeds.cpp).
    /// Compares the runs of a step once most of its tasks have ended, and once all have.
    void recordRunTime(const Run &run);
    void compareRuns(Step &step);
    void assessSpeeds();
    /// Remembers that a task needs a fast worker.
    void recordUrgentDemand(const StepDemand &demand);
    /// Capacity that a step with much slack leaves free on fast workers for more urgent tasks.
    [[nodiscard]] Resources fastHeadroom(const StepView &view, const SpeedPreference &speed) const;
    /// Number of usable workers that are slower or faster than the mean.
    struct WorkersBySpeed
    {
        std::uint64_t slow = 0;
        std::uint64_t fast = 0;
    };
    [[nodiscard]] WorkersBySpeed countBySpeed() const;
    /// Time that work of the estimated time takes at the mean speed of the usable workers.
    [[nodiscard]] Duration expectedTime(Duration estimate) const;
    void sortUsableBySpeed();
    /// Usable workers in the order of their speeds and then of their free CPU.
    [[nodiscard]] const std::vector<Worker *> &usableInOrder(const SpeedPreference &speed) const;
    /// Speed of the workers that the step should use, given its objective.
    [[nodiscard]] SpeedPreference speedPreference(const StepView &view) const;

    // Jobs (schedulerjobs.cpp).
    void handleTaskCompleted(const TaskId &task, std::uint32_t run);
    /// True if another run of the task, or of its gang, may still be active.
    [[nodiscard]] bool hasOtherRuns(const TaskId &task, std::uint32_t run);
    /// Has the steps that depend on the task wait until its end is durable.
    void awaitDurableEnd(const Job &job, const TaskId &task);
    /// Has the task of a long-running step started again after an end of any kind.
    void restartLongRunning(Job &job, const TaskId &id, std::uint32_t run, const char *reason);
    void handleTaskFailed(Worker &worker, const TaskId &task, std::uint32_t run);
    /// Calls \p action for each run of the job on any worker.
    void forEachRunOf(const std::string &job, const std::function<void(Worker &, Run &)> &action);
    void abortGang(const TaskId &member, std::uint32_t run, const char *reason);
    void stopOtherRuns(const TaskId &task, std::uint32_t run);
    void stopAllRuns(const std::string &job, const char *reason);
    void endJob(Job &job, JobStatus status);
    void saveProgress(const Job &job, Urgency urgency, FencedWriter::Action durable = {});
    void reportDefect(const Job &job);
    void persistJobEnd(Job &job);
    void handleJobEndDurable(const std::string &id);
    [[nodiscard]] bool ensureStartRecorded(Job &job);
    void beginDueOccurrences(Job &job);
    void finishRecovery();
    /// Allows jobs to start tasks again once no unreachable worker can still run anything of them.
    void releaseReconciledJobs();
    void abortPartialGangs(const Job &job);
    /// False while an earlier owner may still start tasks on any of the workers.
    [[nodiscard]] bool mayUseWorkers() const;
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
    CustomerQuotas m_quotas;
    CustomerShares m_shares;
    std::vector<Duration> m_excessDelays; ///< By customer, as of the last pass.
    Resources m_usableCapacity;           ///< Sum over the usable workers.
    ActiveJobs m_activeJobs;
    std::optional<CellConfiguration> m_configuration;
    ResponseTimes m_answerTimes;
    OrderSender m_sender;
    WorkerLinks m_links;
    WorkerRoster m_roster;
    std::vector<Worker *> m_usableWorkers; ///< As of the last pass or later; most free CPU first.
    /// The same workers in the order of their speeds; empty unless unlike speeds are proven.
    std::vector<Worker *> m_fastestUsable;
    std::vector<Worker *> m_slowestUsable;
    TimePoint m_usableRefreshedAt{};
    Resources m_maxFree;         ///< Maximum of each resource free on any usable worker.
    Reservations m_reservations; ///< Made by the last pass and by advice requests since.
    std::vector<GangReservation> m_gangReservations; ///< In the order in which they were made.
    /// Rank of the most urgent step that the last pass left waiting for room.
    std::optional<Rank> m_highestBlockedRank;
    std::set<std::string> m_changedJobs; ///< Jobs to be evaluated.
    TimePoint m_loadLoggedAt{};
    WorkerSpeeds m_speeds;
    TimePoint m_speedsAssessedAt{};
    double m_slowSpeed = 1; ///< Speeds that nine tenths of the workers exceed, and one tenth.
    double m_fastSpeed = 1;
    /// The newest task that needed a fast worker.
    struct UrgentDemand
    {
        Resources amount;
        std::uint32_t priority = 0;
        TimePoint seenAt{};
    };
    std::optional<UrgentDemand> m_urgentDemand;
    double m_meanSpeed = 1; ///< Mean of the usable workers.
    /// During a pass: no further slow advice request is accepted.
    bool m_slowAdviceSaturated = false;
    /// A task waits because the send window was full; no order was answered since then.
    bool m_windowFull = false;
    PassMeter m_passMeter;
    Duration m_lastPassDuration{};
    bool m_passRequested = false;
    bool m_delayedPassRequested = false;
    const TimePoint m_begunAt;
    bool m_recovering = true;
    bool m_loaded = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
