#include <experiment/jobbook.h>

#include <nlohmann/json.hpp>

#include <cstdio>

namespace cowsliprock::experiment {

namespace {

/// The shortest and the longest task take this many times the mean.
constexpr double shortest = 0.5;
constexpr double longest = 1.5;

std::string idOf(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
    return text;
}

} // namespace

JobBook::JobBook(const Plan &plan, std::uint32_t seed)
    : m_plan(plan)
    , m_random(seed)
{ }

const JobBook::Entry &JobBook::draw(std::size_t kindIndex)
{
    const auto &kind = m_plan.kinds.at(kindIndex);
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<std::uint32_t> tasks(1, kind.tasks);
    std::uniform_real_distribution<double> factor(shortest, longest);
    Entry entry;
    entry.id = idOf(m_random());
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

const JobBook::Entry *JobBook::find(const std::string &id) const
{
    const auto entry = m_entries.find(id);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

standincell::TaskPlan JobBook::plan(const cell::TaskId &task) const
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

Duration JobBook::adviceTime(const std::string &step) const
{
    const auto *entry = find(step.substr(0, step.find('.')));
    return entry == nullptr ? Duration() : m_plan.kinds.at(entry->kind).adviceTime;
}

std::string JobBook::body(const Entry &entry)
{
    nlohmann::json steps = nlohmann::json::array();
    for (const auto &step : entry.spec.steps) {
        nlohmann::json row{
            { "count", step.count },
            { "cpu", step.amount.cpuMillis },
            { "mem_mb", step.amount.memoryMb },
            { "estimate_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(step.estimate).count() }
        };
        if (step.gang)
            row["gang"] = true;
        if (!step.after.empty())
            row["after"] = step.after;
        steps.push_back(std::move(row));
    }
    return nlohmann::json{ { "spec", entry.spec.spec }, { "steps", std::move(steps) } }.dump();
}

} // namespace cowsliprock::experiment
