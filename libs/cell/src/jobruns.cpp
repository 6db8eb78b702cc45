#include "jobruns.h"

namespace cowsliprock::cell {

void JobRuns::runAdded(const std::string &job, const std::string &worker)
{
    ++m_runs[job][worker];
}

void JobRuns::runRemoved(const std::string &job, const std::string &worker)
{
    const auto runs = m_runs.find(job);
    if (runs == m_runs.end())
        return;
    if (const auto count = runs->second.find(worker);
        count != runs->second.end() && --count->second == 0) {
        runs->second.erase(count);
    }
    if (runs->second.empty())
        m_runs.erase(runs);
}

std::vector<std::string> JobRuns::workersOf(const std::string &job) const
{
    std::vector<std::string> workers;
    if (const auto runs = m_runs.find(job); runs != m_runs.end()) {
        for (const auto &[worker, count] : runs->second)
            workers.push_back(worker);
    }
    return workers;
}

} // namespace cowsliprock::cell
