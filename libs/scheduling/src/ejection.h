#pragma once

#include <base/id.h>
#include <base/time.h>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace cowsliprock::scheduling {

/// Keeps workers that fail every start out of use for a while.
class Ejection
{
public:
    static constexpr unsigned failuresInRow = 5;
    static constexpr Duration shortest = std::chrono::seconds(60);
    static constexpr Duration longest = std::chrono::minutes(15);

    /// Workers that may be ejected at once: 20% of those held, which is one for five workers.
    [[nodiscard]] static constexpr std::size_t limit(std::size_t workersHeld) noexcept
    {
        return workersHeld / 5;
    }

    /// A start that the worker refused. Returns true if the worker is ejected by it.
    bool startRefused(const WorkerName &worker, TimePoint now, std::size_t workersHeld);

    /// A task that failed before any report showed it running. Failures of one job alone do not
    /// eject a worker, because a job that is broken itself fails everywhere.
    bool taskFailedEarly(const WorkerName &worker, const JobId &job, TimePoint now,
                         std::size_t workersHeld);
    void startSucceeded(const WorkerName &worker);
    void forget(const WorkerName &worker);

    [[nodiscard]] bool ejected(const WorkerName &worker, TimePoint now) const;

    /// Workers whose ejection has ended since the last call.
    [[nodiscard]] std::vector<WorkerName> takeEnded(TimePoint now);

private:
    struct Record
    {
        unsigned failures = 0;
        bool refused = false;
        std::set<JobId> failedJobs;
        Duration next = shortest;
    };

    bool ejectIfDue(const WorkerName &worker, Record &record, TimePoint now,
                    std::size_t workersHeld);

    std::map<WorkerName, Record> m_records;
    std::map<WorkerName, TimePoint> m_until;
};

} // namespace cowsliprock::scheduling
