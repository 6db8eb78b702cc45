#include <cell/model.h>

#include <base/parsenumber.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace cowsliprock::cell {

namespace {

constexpr std::array<const char *, 5> statusNames{ "queued", "running", "completed", "failed",
                                                   "cancelled" };

} // namespace

const QueueSettings *CellConfiguration::matchQueue(const std::string &host,
                                                   const std::string &path) const
{
    const QueueSettings *best = nullptr;
    for (const auto &queue : queues) {
        if (queue.host == host && path.starts_with(queue.prefix)
            && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueueSettings *CellConfiguration::findQueue(const std::string &name) const
{
    for (const auto &queue : queues) {
        if (queue.name == name)
            return &queue;
    }
    return nullptr;
}

std::optional<Caller>
CellConfiguration::authenticate(const QueueSettings &queue,
                                const std::optional<std::string> &apiKey) const
{
    if (customers.empty() || queue.anonymous)
        return Caller{};
    const auto *customer = apiKey ? customers.findByKey(*apiKey) : nullptr;
    return customer == nullptr ? std::nullopt : std::optional(Caller{ customer->name });
}

Resources heldBy(const StepSpec &step) noexcept
{
    Resources amount = step.amount;
    if (step.bestEffort)
        amount.cpuMillis = 0;
    return amount;
}

bool fitsQuota(const CustomerSettings &customer, const JobSpec &spec) noexcept
{
    return std::all_of(spec.steps.begin(), spec.steps.end(), [&customer](const StepSpec &step) {
        return fitsQuota(customer.quota, heldBy(step), step.gang ? step.count : 1);
    });
}

const char *toString(JobStatus status) noexcept
{
    return statusNames.at(static_cast<std::size_t>(status));
}

std::optional<JobStatus> parseJobStatus(const std::string &text)
{
    for (std::size_t index = 0; index < statusNames.size(); ++index) {
        if (text == statusNames.at(index))
            return static_cast<JobStatus>(index);
    }
    return std::nullopt;
}

std::string TaskId::text() const
{
    return stepText() + "." + std::to_string(index);
}

std::string TaskId::stepText() const
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

std::optional<TaskId> parseTaskId(const std::string &text)
{
    TaskId result;
    std::string_view rest = text;
    const std::array<std::uint32_t *, 3> numbers{ &result.index, &result.step, &result.occurrence };
    for (std::uint32_t *number : numbers) {
        const auto dot = rest.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const auto parsed = parseNumber<std::uint32_t>(rest.substr(dot + 1));
        if (!parsed)
            return std::nullopt;
        *number = *parsed;
        rest = rest.substr(0, dot);
    }
    if (rest.empty())
        return std::nullopt;
    result.job = std::string(rest);
    return result;
}

const char *toString(EndKind kind) noexcept
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::Lapsed:
        return "lapsed";
    case EndKind::Broken:
        return "broken";
    case EndKind::Alone:
        return "alone";
    }
    return "unknown";
}

} // namespace cowsliprock::cell
