#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

/// Index of the workers that have runs of a job, so that handling a job does not require a scan of
/// all workers of the cell.
class JobRuns
{
public:
    void runAdded(const std::string &job, const std::string &worker);
    void runRemoved(const std::string &job, const std::string &worker);

    [[nodiscard]] std::vector<std::string> workersOf(const std::string &job) const;

private:
    std::unordered_map<std::string, std::map<std::string, std::uint32_t>> m_runs;
};

} // namespace cowsliprock::cell
