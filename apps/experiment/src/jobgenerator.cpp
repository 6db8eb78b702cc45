#include <experiment/jobgenerator.h>

#include <nlohmann/json.hpp>

#include <cstdio>

namespace cowsliprock::experiment {

namespace {

/// Bounds of the run time of a task, as factors of the mean.
constexpr double minWorkFactor = 0.5;
constexpr double maxWorkFactor = 1.5;

std::string formatId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
    return text;
}

} // namespace

JobGenerator::JobGenerator(const Plan &plan, std::uint32_t seed)
    : m_plan(plan)
    , m_random(seed)
{ }

const JobGenerator::Entry &JobGenerator::generate(std::size_t kindIndex)
{
    const auto &kind = m_plan.kinds.at(kindIndex);
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<std::uint32_t> tasks(1, kind.tasks);
    std::uniform_real_distribution<double> factor(minWorkFactor, maxWorkFactor);
    Entry entry;
    entry.id = formatId(m_random());
    entry.kind = kindIndex;
    entry.work = std::chrono::duration_cast<Duration>(kind.work * factor(m_random));
    entry.fails = chance(m_random) < kind.failingShare;
    entry.spec.spec = kind.name;
    const bool gang = chance(m_random) < kind.gangShare;
    for (std::uint32_t index = 0; index < kind.steps; ++index) {
        cell::StepSpec step;
        step.count = tasks(m_random);
        step.amount = kind.amount;
        step.estimate = kind.work;
        step.gang = gang;
        if (index > 0)
            step.after = { index - 1 };
        entry.spec.steps.push_back(std::move(step));
    }
    const auto id = entry.id;
    return m_entries.insert_or_assign(id, std::move(entry)).first->second;
}

const JobGenerator::Entry *JobGenerator::find(const std::string &id) const
{
    const auto entry = m_entries.find(id);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

standincell::TaskPlan JobGenerator::taskPlan(const cell::TaskId &task) const
{
    standincell::TaskPlan result;
    const auto *entry = find(task.job);
    if (entry == nullptr || task.step >= entry->spec.steps.size())
        return result;
    const auto &step = entry->spec.steps[task.step];
    result.amount = step.amount;
    result.work = entry->work;
    result.fails = entry->fails;
    result.gangSize = step.gang ? step.count : 0;
    return result;
}

Duration JobGenerator::adviceTime(const std::string &step) const
{
    const auto *entry = find(step.substr(0, step.find('.')));
    return entry == nullptr ? Duration() : m_plan.kinds.at(entry->kind).adviceTime;
}

std::string JobGenerator::body(const Entry &entry)
{
    nlohmann::json steps = nlohmann::json::array();
    for (const auto &step : entry.spec.steps) {
        nlohmann::json item{
            { "count", step.count },
            { "cpu", step.amount.cpuMillis },
            { "mem_mb", step.amount.memoryMb },
            { "estimate_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(step.estimate).count() }
        };
        if (step.gang)
            item["gang"] = true;
        if (!step.after.empty())
            item["after"] = step.after;
        steps.push_back(std::move(item));
    }
    return nlohmann::json{ { "spec", entry.spec.spec }, { "steps", std::move(steps) } }.dump();
}

} // namespace cowsliprock::experiment
