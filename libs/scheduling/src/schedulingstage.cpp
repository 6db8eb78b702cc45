#include "gangrunner.h"
#include "jobjson.h"
#include "jobrecovery.h"
#include "operatoractions.h"
#include "ownerchoice.h"
#include "reservations.h"
#include "taskrunner.h"
#include "workerreports.h"

#include <kernel/stage.h>

#include <utility>

namespace cowsliprock::scheduling {

namespace {

constexpr int rank = 40;
constexpr Duration loadInterval = std::chrono::milliseconds(500);
constexpr Duration lateInterval = std::chrono::seconds(1);

/// Bounds the processing time of one event when many jobs are queued.
constexpr int decisionsPerEvent = 64;

/// Number of waiting jobs requeued when capacity becomes free, and at least once per
/// requeueInterval.
constexpr std::size_t jobsRequeuedAtOnce = 8;
constexpr Duration requeueInterval = std::chrono::milliseconds(500);

/// Connects the components and dispatches events to them.
class SchedulingStage : public Stage
{
public:
    explicit SchedulingStage(const KernelSettings &settings)
        : m_context(settings)
        , m_owner(m_context)
        , m_reservations(m_owner)
        , m_reports(m_owner)
        , m_home(m_context)
        , m_owners(m_context, m_owner.ledger)
        , m_tasks(m_home, m_owners)
        , m_gangs(m_home, m_owners, m_tasks)
        , m_recovery(m_home, m_tasks)
        , m_operators(m_home, m_owner.ledger, m_tasks)
    {
        m_tasks.setGangRunner(m_gangs);
    }

    void handle(const Event &event, TimePoint now, Output &output) override
    {
        m_context.now = now;
        m_context.output = &output;
        m_context.handle(event);
        std::visit([this](const auto &value) { on(value); }, event);
        deliverLocal();
        requeueWaiting();
        startQueued();
        deliverLocal();
        m_home.rows.flush();
        raiseDrained();
    }

    [[nodiscard]] std::string snapshot() const override
    {
        return "{\"jobs\":" + jobsJson(m_home.jobs(), m_context.now)
            + ",\"workers\":" + workersJson(m_owner.ledger, m_context)
            + ",\"queuedJobs\":" + std::to_string(m_home.queue.size()) + "}";
    }

private:
    template <typename T>
    void on(const T &)
    { }

    void on(const event::Tick &)
    {
        m_reservations.tick();
        m_reports.tick();
        m_recovery.tick();
        m_home.takeDueJobs();
        for (const auto &reference : m_home.takeDueTasks())
            m_tasks.due(reference);
        m_gangs.tick();
        m_operators.tick();
        m_home.evictEndedJobs();
        raiseLoad();
        raiseLate();
    }
    void on(const event::StoreReply &reply)
    {
        std::vector<JobRows::Result> results;
        if (m_home.rows.handle(reply, results)) {
            for (const auto &result : results)
                m_operators.rowResult(result);
        } else {
            (void)m_recovery.handle(reply);
        }
    }
    void on(const event::PeerMessage &received) { receive(received.from.name, received.message); }
    void on(const event::VmList &) { synchronizeVms(); }
    void on(const event::WorkerReport &report) { m_reports.report(report); }
    void on(const event::WorkerUnreachable &unreachable)
    {
        m_reports.unreachable(unreachable.worker);
    }
    void on(const event::TaskStartResult &result) { m_reservations.startResult(result); }
    void on(const event::TaskStopResult &result) { m_reservations.stopResult(result); }
    void on(const event::OperatorCall &call) { m_operators.call(call); }
    void on(const event::DrainRequested &) { m_reservations.drain(); }
    void on(const event::PartitionAcquired &acquired)
    {
        m_owner.ledger.dropPartition(acquired.partition);
        synchronizeVms();
        m_recovery.acquired(acquired);
    }
    void on(const event::PartitionLost &lost)
    {
        m_owner.ledger.dropPartition(lost.partition);
        m_home.dropPartition(lost.partition);
        m_recovery.lost(lost.partition);
        m_operators.partitionLost(lost.partition);
    }
    void on(const event::JournalResult &result) { m_tasks.journalResult(result); }

    void synchronizeVms()
    {
        for (const auto &allocation : m_owner.ledger.synchronize())
            m_owner.vmEnded(allocation);
    }

    void receive(const DaemonName &from, const Message &received)
    {
        if (const auto *reserve = std::get_if<message::Reserve>(&received))
            m_reservations.reserve(from, *reserve);
        else if (const auto *reply = std::get_if<message::ReserveReply>(&received))
            m_tasks.reserveReply(from, *reply);
        else if (const auto *release = std::get_if<message::ReleaseReservation>(&received))
            m_reservations.release(*release);
        else if (const auto *start = std::get_if<message::StartTask>(&received))
            m_reservations.startTask(from, *start);
        else if (const auto *started = std::get_if<message::StartTaskReply>(&received))
            m_tasks.startReply(from, *started);
        else if (const auto *stop = std::get_if<message::StopTask>(&received))
            m_reservations.stopTask(from, *stop);
        else if (const auto *ended = std::get_if<message::TaskEnded>(&received))
            m_tasks.ended(*ended);
        else if (const auto *relay = std::get_if<message::OperatorRelay>(&received))
            m_operators.relayed(from, *relay);
        else if (const auto *relayReply = std::get_if<message::OperatorRelayReply>(&received))
            m_operators.relayReply(*relayReply);
    }

    void deliverLocal()
    {
        while (!m_context.localMessages.empty()) {
            const Message message = std::move(m_context.localMessages.front());
            m_context.localMessages.pop_front();
            receive(m_context.settings.self.name, message);
        }
    }

    void requeueWaiting()
    {
        // Capacity that becomes free on peers is only discovered by the next request.
        const bool due = m_requeuedAt + requeueInterval <= m_context.now;
        if (!due && !m_owner.ledger.takeCapacityFreed())
            return;
        m_requeuedAt = m_context.now;
        m_home.requeueWaiting(jobsRequeuedAtOnce);
    }

    void startQueued()
    {
        const auto jobOf = [this](const JobId &id) -> const Job & { return *m_home.job(id); };
        for (int decisions = 0; decisions < decisionsPerEvent; ++decisions) {
            if (m_home.queue.size() == 0 || !m_context.valid() || m_context.draining)
                return;
            const auto next = m_home.queue.next(jobOf);
            if (!next)
                return;
            Job &job = *m_home.job(*next);
            // Intents of exclusive tasks cannot become durable while the store is unreachable.
            if (job.definition().exclusive && !m_context.storeReachable)
                m_home.delay(job, std::chrono::seconds(1));
            else if (job.isGang())
                m_gangs.begin(job);
            else
                m_tasks.begin({ &job, *job.pending.begin() });
            deliverLocal();
        }
    }

    void raiseLoad()
    {
        if (m_context.now < m_loadRaisedAt + loadInterval)
            return;
        LoadSummary load = m_owner.ledger.load();
        const bool same = load.freeResources == m_load.freeResources
            && load.largestFree == m_load.largestFree && load.workerTypes == m_load.workerTypes;
        if (same)
            return;
        m_loadRaisedAt = m_context.now;
        m_load = load;
        m_context.output->raise(event::LoadChanged{ "scheduling", std::move(load) });
    }

    /// Reports the late jobs, and an empty list once when no job is late any more.
    void raiseLate()
    {
        if (m_context.now < m_lateRaisedAt + lateInterval)
            return;
        m_lateRaisedAt = m_context.now;
        std::vector<event::LateItem> items;
        for (const auto &[id, job] : m_home.jobs()) {
            if (!job.ended() && job.late(m_context.now))
                items.push_back(
                    { id.value(), job.definition().name, job.definition().team, job.deadlineAt });
        }
        const bool any = !items.empty();
        if (any || m_anyLate)
            m_context.output->raise(event::LateWorkChanged{ "scheduling", std::move(items) });
        m_anyLate = any;
    }

    /// Reports the stage as drained; running tasks continue. Waits until the outcome of all starts
    /// is known: the next owner treats a worker's report as complete and would miss a start that
    /// takes effect after it.
    void raiseDrained()
    {
        if (!m_context.draining || m_drained || m_reservations.startsInProgress())
            return;
        m_drained = true;
        m_context.output->raise(event::StageDrained{ "scheduling" });
    }

    Context m_context;
    OwnerState m_owner;
    Reservations m_reservations;
    WorkerReports m_reports;
    HomeState m_home;
    OwnerChoice m_owners;
    TaskRunner m_tasks;
    GangRunner m_gangs;
    JobRecovery m_recovery;
    OperatorActions m_operators;
    LoadSummary m_load;
    TimePoint m_lateRaisedAt;
    bool m_anyLate = false;
    TimePoint m_loadRaisedAt;
    TimePoint m_requeuedAt;
    bool m_drained = false;
};

const StageRegistrar registrar(rank, "scheduling", [](const KernelSettings &settings) {
    return std::make_unique<SchedulingStage>(settings);
});

} // namespace

} // namespace cowsliprock::scheduling
