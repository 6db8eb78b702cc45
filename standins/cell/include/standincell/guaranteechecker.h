#pragma once

#include <standincell/quotachecker.h>
#include <standincell/workermodel.h>

#include <cell/model.h>
#include <eventloop/timers.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::standincell {

/// Checks the guarantees of the system against what workers and callers observe.
class GuaranteeChecker : public WorkerObserver
{
public:
    /// \p quotas is null in cells without customers.
    explicit GuaranteeChecker(Timers &timers, const QuotaChecker *quotas = nullptr);

    void submitted(const std::string &job, const cell::JobSpec &spec, std::uint32_t maxAttempts);
    /// Each start of a task of the job crashes its worker.
    void deadly(const std::string &job) { m_jobs[job].deadly = true; }
    void belongsTo(const std::string &job, const std::string &customer)
    {
        m_jobs[job].customer = customer;
    }
    void accepted(const std::string &job);
    void refused(const std::string &job);
    void cancelRequested(const std::string &job);
    void cancelled(const std::string &job);
    /// Sets the time at which the tasks started from now on were ordered; std::nullopt means now.
    void setOrderTime(std::optional<TimePoint> time) { m_orderTime = time; }
    void statusReported(const std::string &job, cell::JobStatus status);
    /// Records that a caller was told that the job does not exist.
    void reportedUnknown(const std::string &job);

    void started(const std::string &worker, const cell::TaskId &task, std::uint32_t run,
                 const Resources &heldBefore, const Resources &capacity) override;
    void ended(const std::string &worker, const cell::FinishedTask &end) override;
    void acknowledged(const std::string &worker, const cell::FinishedTask &end) override;
    void capacityChanged(const std::string &worker, const Resources &former) override;
    void crashed(const std::string &worker) override;

    /// One line per violated guarantee.
    [[nodiscard]] const std::vector<std::string> &broken() const noexcept { return m_violations; }
    [[nodiscard]] std::size_t starts() const noexcept { return m_starts; }
    [[nodiscard]] std::size_t startsOn(const std::string &worker) const
    {
        const auto entry = m_startsByWorker.find(worker);
        return entry == m_startsByWorker.end() ? 0 : entry->second;
    }

    /// Number of accepted jobs for which no terminal status has been reported.
    [[nodiscard]] std::size_t unfinishedJobs() const;

private:
    /// Acknowledged ends of the runs of one task or gang, which the workers may have discarded.
    struct AcknowledgedEnds
    {
        std::set<std::uint32_t> failedRuns;
        TimePoint lastFailure{};
        TimePoint done{};
    };
    struct JobRecord
    {
        cell::JobSpec spec;
        std::string customer; ///< Empty if it has none.
        std::uint32_t maxAttempts = 1;
        bool accepted = false;
        bool deadly = false; ///< Its tasks crash their workers.
        bool refused = false;
        bool cancelRequested = false;
        bool ended = false;
        TimePoint cancelledAt{};
        std::map<std::uint32_t, std::set<std::uint32_t>> finished; ///< Listed tasks by step.
        std::map<std::string, std::set<std::uint32_t>> failedRuns; ///< As listed.
        std::map<std::string, AcknowledgedEnds> acknowledged;
        std::map<std::string, std::set<std::uint32_t>> lostRuns; ///< With their workers, by task.
        std::map<std::string, std::uint32_t> startsAfterCrashes;
        std::map<std::string, TimePoint> lastStart;
        cell::TaskId lastStartedTask;
    };

    struct FormerCapacity
    {
        Resources capacity;
        TimePoint until{};
    };

    /// True if the resources fit in the capacity of the worker, or in one that it had shortly
    /// before the order was sent.
    [[nodiscard]] bool fits(const std::string &worker, const Resources &held,
                            const Resources &capacity) const;
    void addViolation(const char *guarantee, const cell::TaskId &task, const std::string &detail);
    /// The members of a gang belong together: no member may run beside one of another run.
    void checkGangRuns(const cell::TaskId &member, std::uint32_t run);
    /// The running tasks of a customer may not exceed its quota when a task of it is started.
    void checkQuota(const JobRecord &job, const cell::TaskId &task);
    /// A task under which several workers have crashed may be started a few times more only.
    void checkCrashes(JobRecord &job, const cell::TaskId &task);
    void checkStart(JobRecord &job, const cell::TaskId &task);
    void checkEnds(JobRecord &job, const cell::TaskId &task);
    [[nodiscard]] static bool copiesAllowed(const JobRecord &job, const cell::TaskId &task);
    /// True if the task is restarted until its job is cancelled.
    [[nodiscard]] static bool lasts(const JobRecord &job, const cell::TaskId &task);
    [[nodiscard]] static std::string attemptKey(const JobRecord &job, const cell::TaskId &task);
    [[nodiscard]] static bool stepDone(const JobRecord &job, std::uint32_t step);

    Timers &m_timers;
    const QuotaChecker *m_quotas;
    std::map<std::string, JobRecord> m_jobs;
    /// Current runs of each task, as pairs of worker and run.
    std::map<cell::TaskId, std::set<std::pair<std::string, std::uint32_t>>> m_running;
    std::map<std::pair<cell::TaskId, std::uint32_t>, TimePoint> m_endTimes;
    std::map<std::string, std::vector<FormerCapacity>> m_formerCapacities;
    std::optional<TimePoint> m_orderTime;
    std::vector<std::string> m_violations;
    std::size_t m_starts = 0;
    std::map<std::string, std::size_t> m_startsByWorker;
};

} // namespace cowsliprock::standincell
