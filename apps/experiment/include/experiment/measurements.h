#pragma once

#include <experiment/plan.h>

#include <standincell/guaranteechecker.h>

#include <cell/model.h>
#include <eventloop/timers.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cowsliprock::experiment {

/// Counts and latencies as seen by clients and workers, by job kind and by second. Forwards all
/// worker events to the guarantee checker.
class Measurements : public standincell::WorkerObserver
{
public:
    Measurements(const Plan &plan, Timers &timers, standincell::GuaranteeChecker &guarantees);

    /// Sets the start of the first second.
    void begin();

    // Events of clients.
    void submitted(const std::string &job, std::size_t kind);
    void accepted(const std::string &job);
    void refused(const std::string &job);
    /// All attempts to submit the job failed without an answer.
    void unknown(const std::string &job);
    void ended(const std::string &job, cell::JobStatus status);
    /// Takes the total number of store calls; the increase counts for the current second.
    void setStoreCalls(std::uint64_t total);

    void started(const std::string &worker, const cell::TaskId &task, std::uint32_t run,
                 const Resources &heldBefore, const Resources &capacity) override;
    void ended(const std::string &worker, const cell::FinishedTask &end) override;
    void acknowledged(const std::string &worker, const cell::FinishedTask &end) override;
    void capacityChanged(const std::string &worker, const Resources &former) override;
    void crashed(const std::string &worker) override;

    [[nodiscard]] std::uint64_t jobsAccepted() const noexcept { return m_accepted; }
    [[nodiscard]] std::uint64_t tasksStarted() const noexcept { return m_started; }

    /// Outcomes and latencies by job kind.
    [[nodiscard]] nlohmann::json kindsReport() const;
    /// Counts by second.
    [[nodiscard]] nlohmann::json secondsReport() const;

    /// Longest time without a task start while accepted jobs waited for their first one.
    [[nodiscard]] Duration longestGap() const noexcept { return m_longestGap; }

private:
    using Counts = std::map<std::string, std::uint64_t>;

    struct Job
    {
        std::size_t kind = 0;
        TimePoint submitted{};
        bool accepted = false;
        bool started = false;
    };
    struct Kind
    {
        Counts outcomes;
        std::vector<double> waitMs;  ///< From submission to the first task start.
        std::vector<double> totalMs; ///< From submission until a client saw the end.
    };
    Counts &currentSecond();
    void count(const std::string &event);
    void recordStart();

    const Plan &m_plan;
    Timers &m_timers;
    standincell::GuaranteeChecker &m_guarantees;
    TimePoint m_begin{};
    std::map<std::string, Job> m_jobs;
    std::vector<Kind> m_kinds;
    std::vector<Counts> m_seconds;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_waiting = 0; ///< Accepted jobs without a task start.
    std::uint64_t m_storeCalls = 0;
    TimePoint m_lastStart{};
    Duration m_longestGap{};
};

} // namespace cowsliprock::experiment
