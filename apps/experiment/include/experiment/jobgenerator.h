#pragma once

#include <experiment/plan.h>

#include <standincell/workermodel.h>

#include <cell/model.h>

#include <map>
#include <random>
#include <string>

namespace cowsliprock::experiment {

/// Generates random jobs and keeps them, so that the simulated workers and the policy service can
/// look up how the tasks of a job behave.
class JobGenerator
{
public:
    JobGenerator(const Plan &plan, std::uint32_t seed);

    /// A generated job.
    struct Entry
    {
        std::string id;
        std::size_t kind = 0; ///< Index into the plan's kinds.
        cell::JobSpec spec;
        Duration work{};    ///< Run time of each task.
        bool fails = false; ///< All tasks fail.
    };

    /// Generates the next job of a kind, given by its index in the plan.
    const Entry &generate(std::size_t kind);

    /// Returns null if no such job was generated.
    [[nodiscard]] const Entry *find(const std::string &id) const;

    /// Behaviour of a task on a worker.
    [[nodiscard]] standincell::TaskPlan taskPlan(const cell::TaskId &task) const;

    /// Response time of the policy service for a step, given as "JOB.OCCURRENCE.STEP".
    [[nodiscard]] Duration adviceTime(const std::string &step) const;

    /// Body of the HTTP request that submits a job.
    [[nodiscard]] static std::string body(const Entry &entry);

private:
    const Plan &m_plan;
    std::mt19937_64 m_random;
    std::map<std::string, Entry> m_entries;
};

} // namespace cowsliprock::experiment
