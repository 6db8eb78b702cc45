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

struct WorkerProperties
{
    WorkerName name;
    std::string address; ///< "host:port"
    Resources capacity;
    std::chrono::milliseconds serviceTime{ 50 }; ///< Processing time of a request.
    std::chrono::milliseconds taskTime{ 0 }; ///< Run time of a task; 0 uses its expected run time.
    std::chrono::milliseconds usageDelay{ 0 }; ///< Usage of a task is reported after this time.
    double usedShare = 0.6; ///< Usage of a task as a fraction of its declared resources.
};

struct WorkerFaults
{
    bool failStarts = false; ///< Tasks fail immediately after their start.
    bool refuse = false;     ///< Task starts and requests are refused before execution.
    bool leaving = false;    ///< Requests are refused and the endpoints are reported as leaving.
    bool truncateResponses = false; ///< Endpoint responses are cut off after half of the body.
    std::chrono::milliseconds delay{ 0 };
};

/// One run of a task, recorded for the observations.
struct TaskRun
{
    using SteadyTime = std::chrono::steady_clock::time_point;
    TaskLaunch launch;
    TaskState state = TaskState::Running;
    SteadyTime startedAt;
    SteadyTime leaseUntil;
    std::optional<SteadyTime> completesAt; ///< Empty for a task that offers a service.
    std::optional<SteadyTime> endedAt;
};

/// Simulates a worker. It starts every task, even beyond its capacity, and records the overload so
/// that tests can detect it. Tasks have no thread: each call first updates their states to the
/// current time. Thread-safe.
class Worker
{
public:
    explicit Worker(WorkerProperties properties);

    enum class StartResult { Created, AlreadyExists, Refused };
    [[nodiscard]] StartResult start(const TaskStart &start);

    /// \p mode is one of the stop modes of docs/api.md. Returns the state after the call, or
    /// std::nullopt for an unknown task.
    [[nodiscard]] std::optional<TaskState> stop(const AttemptId &attempt, const std::string &mode);

    /// Renews the leases of the given tasks and returns a report.
    [[nodiscard]] event::WorkerReport report(const std::vector<AttemptId> &renew,
                                             std::chrono::milliseconds lease);

    enum class Admission { Accepted, Refused, Leaving };
    [[nodiscard]] Admission beginRequest(const std::string &service, const std::string &attempt,
                                         const std::string &key);
    void endRequest(const std::string &service);

    void setFaults(const WorkerFaults &faults);
    [[nodiscard]] WorkerFaults faults() const;
    [[nodiscard]] const WorkerProperties &properties() const noexcept { return m_properties; }

    /// Events and maxima recorded for checks in tests.
    struct Observations
    {
        Resources
            maximumDeclared; ///< Component-wise maximum of the resources declared by running tasks.
        std::map<std::string, std::uint32_t>
            maximumRequests;                        ///< Maximum of concurrent requests, by service.
        std::map<std::string, std::uint32_t> slots; ///< Maximum slots of running tasks, by service.
        std::map<std::string, std::uint32_t> attempts; ///< Executed requests, by X-Attempt.
        std::map<std::string, std::uint32_t> keys;     ///< Executed requests, by "<caller>/<key>".
        std::uint64_t requestsRefused = 0;
        /// Time from the start of leaving to the latest request received after it.
        std::optional<std::chrono::milliseconds> lastRequestAfterLeaving;
        std::vector<TaskRun> runs;
    };
    [[nodiscard]] Observations observations();

private:
    using SteadyTime = TaskRun::SteadyTime;

    void advance(SteadyTime now);
    void recordLoad();
    [[nodiscard]] bool offersService(const std::string &service) const;
    [[nodiscard]] TaskReport toReport(const TaskRun &run, SteadyTime now) const;
    [[nodiscard]] std::vector<EndpointReport> endpoints() const;

    const WorkerProperties m_properties;
    mutable std::mutex m_mutex;
    WorkerFaults m_faults;
    std::optional<SteadyTime> m_leavingSince;
    std::map<AttemptId, TaskRun> m_tasks; ///< Active and recently ended tasks.
    std::map<std::string, std::uint32_t> m_activeRequests;
    Observations m_observations; ///< Its member runs holds runs removed from m_tasks.
};

/// Two runs of one task that overlap in time.
struct TaskOverlap
{
    JobId job;
    std::uint32_t index = 0;
    AttemptId first;
    AttemptId second;
};

[[nodiscard]] std::vector<TaskOverlap> findOverlaps(std::vector<TaskRun> runs);

} // namespace cowsliprock::standin
