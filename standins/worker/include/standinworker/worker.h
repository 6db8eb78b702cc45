#pragma once

#include <base/resources.h>
#include <kernel/events.h>
#include <kernel/model.h>
#include <kernel/serialization.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::standin {

struct WorkerTraits
{
    WorkerName name;
    std::string address; ///< "host:port"
    Resources capacity;
    std::chrono::milliseconds serviceTime{ 50 }; ///< Of a request.
    std::chrono::milliseconds taskTime{ 0 };     ///< Of a task; 0: its expected run time.
    std::chrono::milliseconds usageLag{ 0 };     ///< Usage is reported as it was a lag ago.
    double usedShare = 0.6;                      ///< Usage of a task as a share of its declaration.
};

struct WorkerFaults
{
    bool failStarts = false; ///< Tasks fail as soon as they are started.
    bool refuse = false;     ///< Starts and requests are refused before they begin.
    bool leaving = false;    ///< Requests are refused, and the endpoints are marked as leaving.
    bool cutAnswers = false; ///< Answers of endpoints end after half of their body.
    std::chrono::milliseconds delay{ 0 };
};

/// One run of a task, kept for observations.
struct TaskRun
{
    using SteadyTime = std::chrono::steady_clock::time_point;
    TaskLaunch launch;
    TaskState state = TaskState::Running;
    SteadyTime startedAt;
    SteadyTime leaseUntil;
    std::optional<SteadyTime> dueAt; ///< When it succeeds; none for a task that offers a service.
    std::optional<SteadyTime> endedAt;
};

/// What a worker does with what it is given: it starts everything, whether it fits or not, and
/// notes what was too much. Tasks end at their time without a thread: each call first brings them
/// up to date. Thread-safe.
class Worker
{
public:
    explicit Worker(WorkerTraits traits);

    enum class Started { Now, Before, Refused };
    [[nodiscard]] Started start(const TaskStart &start);

    /// \p mode is one of the words of docs/api.md. Returns the state after the call, or nothing for
    /// a task that is not known.
    [[nodiscard]] std::optional<TaskState> stop(const AttemptId &attempt, const std::string &mode);

    /// Renews the leases of the tasks named and reports.
    [[nodiscard]] event::WorkerReport report(const std::vector<AttemptId> &renew,
                                             std::chrono::milliseconds lease);

    enum class Admission { Accepted, Refused, Leaving };
    [[nodiscard]] Admission beginRequest(const std::string &service, const std::string &attempt,
                                         const std::string &key);
    void endRequest(const std::string &service);

    void setFaults(const WorkerFaults &faults);
    [[nodiscard]] WorkerFaults faults() const;
    [[nodiscard]] const WorkerTraits &traits() const noexcept { return m_traits; }

    /// What the worker saw, for checks by tests.
    struct Observations
    {
        Resources maximumDeclared; ///< Component-wise maximum of the sums of running tasks.
        std::map<std::string, std::uint32_t> maximumRequests; ///< Simultaneous, by service.
        std::map<std::string, std::uint32_t> slots;           ///< By service, of all running tasks.
        std::map<std::string, std::uint32_t> attempts;        ///< Requests run, by X-Attempt.
        std::map<std::string, std::uint32_t> keys; ///< Requests run, by "<caller>/<key>".
        std::uint64_t requestsRefused = 0;
        /// From the leaving mark to the latest request that came after it.
        std::optional<std::chrono::milliseconds> latestAfterLeaving;
        std::vector<TaskRun> runs;
    };
    [[nodiscard]] Observations observations();

private:
    using SteadyTime = TaskRun::SteadyTime;

    void advance(SteadyTime now);
    void observeLoad();
    [[nodiscard]] bool offers(const std::string &service) const;
    [[nodiscard]] TaskReport toReport(const TaskRun &run, SteadyTime now) const;
    [[nodiscard]] std::vector<EndpointReport> endpoints() const;

    const WorkerTraits m_traits;
    mutable std::mutex m_mutex;
    WorkerFaults m_faults;
    std::optional<SteadyTime> m_leavingSince;
    std::map<AttemptId, TaskRun> m_tasks; ///< Present ones and those that ended recently.
    std::map<std::string, std::uint32_t> m_activeRequests;
    Observations m_observations; ///< Member runs holds the runs that left m_tasks.
};

/// A task that ran twice at the same time.
struct TaskOverlap
{
    JobId job;
    std::uint32_t index = 0;
    AttemptId first;
    AttemptId second;
};

[[nodiscard]] std::vector<TaskOverlap> overlapsOf(std::vector<TaskRun> runs);

} // namespace cowsliprock::standin
