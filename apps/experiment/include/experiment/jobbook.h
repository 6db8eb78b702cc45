#pragma once

#include <experiment/plan.h>

#include <standincell/workermodel.h>

#include <cell/model.h>

#include <map>
#include <random>
#include <string>

namespace cowsliprock::experiment {

/// The jobs that the callers have drawn, and what their tasks do on a worker.
class JobBook
{
public:
    JobBook(const Plan &plan, std::uint32_t seed);

    struct Entry
    {
        std::string id;
        std::size_t kind = 0; ///< Index into the plan's kinds.
        cell::JobSpec spec;
        Duration work{};
        bool fails = false;
    };

    /// Draws the next job of a kind.
    const Entry &draw(std::size_t kind);

    [[nodiscard]] const Entry *find(const std::string &id) const;

    /// What a task does on a worker.
    [[nodiscard]] standincell::TaskPlan plan(const cell::TaskId &task) const;

    /// Time that the policy service takes for a step, given as "JOB.OCCURRENCE.STEP".
    [[nodiscard]] Duration adviceTime(const std::string &step) const;

    /// Body of the submission of a job.
    [[nodiscard]] static std::string body(const Entry &entry);

private:
    const Plan &m_plan;
    std::mt19937_64 m_random;
    std::map<std::string, Entry> m_entries;
};

} // namespace cowsliprock::experiment
