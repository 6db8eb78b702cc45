#include <burn/report.h>

#include <algorithm>

namespace cowsliprock {

double burnRate(const ObjectiveCount &count, double target) noexcept
{
    if (count.total == 0 || target <= 0.0 || target >= 1.0)
        return 0.0;
    return static_cast<double>(count.bad) / static_cast<double>(count.total) / (1.0 - target);
}

double budgetLeft(const ObjectiveCount &count, double target) noexcept
{
    return 1.0 - burnRate(count, target);
}

namespace {

void mergeService(ServiceBurn &target, const ServiceBurn &source)
{
    for (std::size_t objective = 0; objective < objectiveCount; ++objective) {
        // Daemons may use different configuration versions for some seconds.
        target.targets[objective] = std::max(target.targets[objective], source.targets[objective]);
        for (std::size_t window = 0; window < burnWindows.size(); ++window) {
            target.counts[window][objective].total += source.counts[window][objective].total;
            target.counts[window][objective].bad += source.counts[window][objective].bad;
        }
    }
    target.waiting.merge(source.waiting);
    for (const auto &[caller, count] : source.lateByCaller)
        target.lateByCaller[caller] += count;
}

void addGaps(BurnReport &report, const std::string &daemon, std::chrono::minutes age)
{
    for (const auto window : burnWindows) {
        if (age < window)
            report.gaps.push_back({ daemon, window, age });
    }
}

} // namespace

BurnReport mergeParts(const std::vector<BurnPart> &parts, const std::vector<std::string> &expected)
{
    BurnReport report;
    for (const auto &part : parts) {
        for (const auto &[name, service] : part.services)
            mergeService(report.services[name], service);
        addGaps(report, part.daemon, part.age);
    }
    for (const auto &daemon : expected) {
        const auto isPartOfDaemon = [&daemon](const BurnPart &part) {
            return part.daemon == daemon;
        };
        if (std::none_of(parts.begin(), parts.end(), isPartOfDaemon))
            addGaps(report, daemon, std::chrono::minutes(0));
    }
    return report;
}

} // namespace cowsliprock
