#include <cell/jobdefect.h>

#include <algorithm>

namespace cowsliprock::cell {

namespace {

template <typename T>
bool withinRange(const T &value, const T &last) noexcept
{
    return value >= T{} && value <= last;
}

bool validAmount(const Resources &amount) noexcept
{
    return withinRange(amount.cpuMillis, joblimits::maxAmount)
        && withinRange(amount.memoryMb, joblimits::maxAmount)
        && withinRange(amount.accelerators, joblimits::maxAmount);
}

/// Returns what is wrong with a step on its own, or null.
const char *stepDefect(const StepSpec &step, std::size_t index)
{
    if (step.count == 0)
        return "has no tasks";
    if (step.count > joblimits::maxTasks)
        return "has too many tasks";
    if (!validAmount(step.amount))
        return "requests an amount out of range";
    if (!withinRange<Duration>(step.estimate, joblimits::maxDuration)
        || !withinRange<Duration>(step.targetLatency, joblimits::maxDuration)) {
        return "has a duration out of range";
    }
    if (step.after.size() > joblimits::maxSteps)
        return "depends on too many steps";
    const bool laterStep = std::any_of(step.after.begin(), step.after.end(),
                                       [index](std::uint32_t before) { return before >= index; });
    return laterStep ? "depends on a step that does not precede it" : nullptr;
}

std::uint64_t occurrencesOf(const JobSpec &spec) noexcept
{
    return std::max<std::uint64_t>(spec.repeatCount, 1);
}

std::optional<std::string> scheduleDefect(const JobSpec &spec)
{
    using Milliseconds = std::chrono::milliseconds;
    if (spec.steps.size() * occurrencesOf(spec) > joblimits::maxStepOccurrences)
        return "too many occurrences";
    if (!withinRange(spec.firstStart, joblimits::maxFirstStart))
        return "first start out of range";
    if (!withinRange<Milliseconds>(spec.interval, joblimits::maxDuration))
        return "interval out of range";
    return std::nullopt;
}

} // namespace

std::optional<std::string> findDefect(const JobSpec &spec)
{
    if (spec.steps.empty())
        return "no steps";
    if (spec.steps.size() > joblimits::maxSteps)
        return "too many steps";
    if (auto defect = scheduleDefect(spec))
        return defect;
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        if (const char *defect = stepDefect(spec.steps[index], index))
            return "step " + std::to_string(index) + " " + defect;
        tasks += spec.steps[index].count;
    }
    if (tasks * occurrencesOf(spec) > joblimits::maxTasks)
        return "too many tasks";
    return std::nullopt;
}

} // namespace cowsliprock::cell
