#include <cell/jobdefect.h>

#include <algorithm>

namespace cowsliprock::cell {

namespace {

/// Returns what is wrong with the step at \p index, or null.
const char *stepDefect(const StepSpec &step, std::size_t index)
{
    if (step.count == 0)
        return "has no tasks";
    const bool unordered = std::any_of(step.after.begin(), step.after.end(),
                                       [index](std::uint32_t before) { return before >= index; });
    return unordered ? "depends on a step that does not precede it" : nullptr;
}

} // namespace

std::optional<std::string> findDefect(const JobSpec &spec)
{
    if (spec.steps.empty())
        return "no steps";
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        if (const char *defect = stepDefect(spec.steps[index], index))
            return "step " + std::to_string(index) + " " + defect;
    }
    return std::nullopt;
}

} // namespace cowsliprock::cell
