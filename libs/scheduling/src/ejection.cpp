#include "ejection.h"

#include <algorithm>

namespace cowsliprock::scheduling {

bool Ejection::startRefused(const WorkerName &worker, TimePoint now, std::size_t workersHeld)
{
    Record &record = m_records[worker];
    ++record.failures;
    record.refused = true;
    return ejectIfDue(worker, record, now, workersHeld);
}

bool Ejection::taskFailedEarly(const WorkerName &worker, const JobId &job, TimePoint now,
                               std::size_t workersHeld)
{
    Record &record = m_records[worker];
    ++record.failures;
    if (record.failedJobs.size() < 2)
        record.failedJobs.insert(job);
    return ejectIfDue(worker, record, now, workersHeld);
}

bool Ejection::ejectIfDue(const WorkerName &worker, Record &record, TimePoint now,
                          std::size_t workersHeld)
{
    if (record.failures < consecutiveFailures || (!record.refused && record.failedJobs.size() < 2))
        return false;
    if (m_ejectedUntil.contains(worker) || m_ejectedUntil.size() >= limit(workersHeld))
        return false;
    m_ejectedUntil[worker] = now + record.next;
    record.next = std::min(record.next * 2, maximumEjection);
    record.failures = 0;
    record.refused = false;
    record.failedJobs.clear();
    return true;
}

void Ejection::startSucceeded(const WorkerName &worker)
{
    if (!m_ejectedUntil.contains(worker))
        m_records.erase(worker);
}

void Ejection::forget(const WorkerName &worker)
{
    m_records.erase(worker);
    m_ejectedUntil.erase(worker);
}

bool Ejection::ejected(const WorkerName &worker, TimePoint now) const
{
    const auto iterator = m_ejectedUntil.find(worker);
    return iterator != m_ejectedUntil.end() && now < iterator->second;
}

std::vector<WorkerName> Ejection::takeEnded(TimePoint now)
{
    std::vector<WorkerName> result;
    for (const auto &[worker, until] : m_ejectedUntil) {
        if (until <= now)
            result.push_back(worker);
    }
    for (const auto &worker : result)
        m_ejectedUntil.erase(worker);
    return result;
}

} // namespace cowsliprock::scheduling
