#pragma once

#include <standincell/workermodel.h>

#include <cell/model.h>
#include <eventloop/timers.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::standincell {

/// Checks what the system promises against what workers and callers see.
class Promises : public WorkerObserver
{
public:
    explicit Promises(Timers &timers);

    void submitted(const std::string &job, const cell::JobSpec &spec, std::uint32_t maxAttempts);
    void accepted(const std::string &job);
    void refused(const std::string &job);
    void cancelRequested(const std::string &job);
    void cancelled(const std::string &job);
    /// What workers start from now on was ordered at that time, or just now.
    void orderedAt(std::optional<TimePoint> time) { m_orderedAt = time; }
    void shown(const std::string &job, cell::JobStatus status);
    /// A caller was told that there is no such job.
    void missing(const std::string &job);

    void started(const std::string &worker, const cell::TaskId &task, std::uint32_t run,
                 const Resources &heldBefore, const Resources &capacity) override;
    void ended(const std::string &worker, const cell::FinishedTask &end) override;
    void acknowledged(const std::string &worker, const cell::FinishedTask &end) override;
    void crashed(const std::string &worker) override;

    /// One line for each broken promise.
    [[nodiscard]] const std::vector<std::string> &broken() const noexcept { return m_broken; }
    [[nodiscard]] std::size_t starts() const noexcept { return m_starts; }
    [[nodiscard]] std::size_t startsOn(const std::string &worker) const
    {
        const auto entry = m_startsOf.find(worker);
        return entry == m_startsOf.end() ? 0 : entry->second;
    }

    /// Accepted jobs whose end was not shown yet.
    [[nodiscard]] std::size_t unfinishedJobs() const;

private:
    /// Ends of runs of one task, or of one gang, that the workers were allowed to forget.
    struct AcknowledgedEnds
    {
        std::set<std::uint32_t> failedRuns;
        TimePoint lastFailure{};
        TimePoint done{};
    };
    struct JobView
    {
        cell::JobSpec spec;
        std::uint32_t maxAttempts = 1;
        bool accepted = false;
        bool refused = false;
        bool cancelRequested = false;
        bool ended = false;
        TimePoint cancelledAt{};
        std::map<std::uint32_t, std::set<std::uint32_t>> finished; ///< Step to tasks, listed.
        std::map<std::string, std::set<std::uint32_t>> failedRuns; ///< As listed.
        std::map<std::string, AcknowledgedEnds> acknowledged;
        std::map<std::string, TimePoint> lastStart;
        cell::TaskId lastStartOf; ///< The task that was started last.
    };

    void fail(const char *promise, const cell::TaskId &task, const std::string &detail);
    void checkStart(JobView &job, const cell::TaskId &task);
    void checkEnds(JobView &job, const cell::TaskId &task);
    [[nodiscard]] static bool copiesAllowed(const JobView &job, const cell::TaskId &task);
    [[nodiscard]] static std::string attemptKey(const JobView &job, const cell::TaskId &task);
    [[nodiscard]] static bool stepDone(const JobView &job, std::uint32_t step);

    Timers &m_timers;
    std::map<std::string, JobView> m_jobs;
    /// Who runs a task now: worker and run.
    std::map<cell::TaskId, std::set<std::pair<std::string, std::uint32_t>>> m_running;
    std::map<std::pair<cell::TaskId, std::uint32_t>, TimePoint> m_endTimes;
    std::optional<TimePoint> m_orderedAt;
    std::vector<std::string> m_broken;
    std::size_t m_starts = 0;
    std::map<std::string, std::size_t> m_startsOf; ///< By worker.
};

} // namespace cowsliprock::standincell
