#pragma once

#include <base/id.h>
#include <base/time.h>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace cowsliprock::scheduling {

/// Outlier ejection: temporarily excludes workers on which every task start fails.
class Ejection
{
public:
    static constexpr unsigned consecutiveFailures = 5;
    static constexpr Duration minimumEjection = std::chrono::seconds(60);
    static constexpr Duration maximumEjection = std::chrono::minutes(15);

    /// Maximum number of workers ejected at the same time: 20% of the owned workers, rounded down,
    /// which is none for fewer than five workers.
    [[nodiscard]] static constexpr std::size_t limit(std::size_t workersHeld) noexcept
    {
        return workersHeld / 5;
    }

    /// Records that the worker refused a start. Returns true if this ejects the worker.
    bool startRefused(const WorkerName &worker, TimePoint now, std::size_t workersHeld);

    /// Records a task that failed before any report showed it running. Failures of a single job do
    /// not eject a worker, because a broken job fails on every worker.
    bool taskFailedEarly(const WorkerName &worker, const JobId &job, TimePoint now,
                         std::size_t workersHeld);
    void startSucceeded(const WorkerName &worker);
    void forget(const WorkerName &worker);

    [[nodiscard]] bool ejected(const WorkerName &worker, TimePoint now) const;

    /// Returns the workers whose ejection has expired since the last call.
    [[nodiscard]] std::vector<WorkerName> takeEnded(TimePoint now);

private:
    struct Record
    {
        unsigned failures = 0;
        bool refused = false;
        std::set<JobId> failedJobs;
        Duration next = minimumEjection;
    };

    bool ejectIfDue(const WorkerName &worker, Record &record, TimePoint now,
                    std::size_t workersHeld);

    std::map<WorkerName, Record> m_records;
    std::map<WorkerName, TimePoint> m_ejectedUntil;
};

} // namespace cowsliprock::scheduling
