#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

/// The workers that hold runs of a job, so that what becomes of one job costs nothing that grows
/// with the cell.
class JobRuns
{
public:
    void added(const std::string &job, const std::string &worker);
    void removed(const std::string &job, const std::string &worker);

    [[nodiscard]] std::vector<std::string> workersOf(const std::string &job) const;

private:
    std::unordered_map<std::string, std::map<std::string, std::uint32_t>> m_runs;
};

} // namespace cowsliprock::cell
