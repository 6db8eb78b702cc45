#include <burn/report.h>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace cowsliprock {

namespace {

using nlohmann::json;

constexpr std::array<const char *, objectiveCount> objectiveNames = { "waiting", "deadline",
                                                                      "availability" };

json countsToJson(const WindowCounts &counts)
{
    json result = json::array();
    for (const auto &window : counts) {
        json row = json::array();
        for (const auto &count : window)
            row.push_back({ count.total, count.bad });
        result.push_back(std::move(row));
    }
    return result;
}

WindowCounts countsFromJson(const json &source)
{
    WindowCounts counts{};
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        for (std::size_t objective = 0; objective < objectiveCount; ++objective) {
            const auto &pair = source.at(window).at(objective);
            counts[window][objective] = { pair.at(0).get<std::uint64_t>(),
                                          pair.at(1).get<std::uint64_t>() };
        }
    }
    return counts;
}

std::string percentage(double share)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << 100.0 * share << '%';
    return out.str();
}

} // namespace

std::string encodePart(const BurnPart &part)
{
    json services = json::object();
    for (const auto &[name, service] : part.services) {
        services[name] = { { "targets", service.targets },
                           { "counts", countsToJson(service.counts) },
                           { "waitingBins", service.waiting.bins() },
                           { "lateByCaller", service.lateByCaller } };
    }
    return json({ { "daemon", part.daemon },
                  { "incarnation", part.incarnation },
                  { "ageMinutes", part.age.count() },
                  { "services", std::move(services) } })
        .dump();
}

Result<BurnPart> decodePart(std::string_view text)
{
    try {
        const json document = json::parse(text);
        BurnPart part;
        part.daemon = document.at("daemon").get<std::string>();
        part.incarnation = document.at("incarnation").get<std::uint64_t>();
        part.age = std::chrono::minutes(document.at("ageMinutes").get<std::int64_t>());
        for (const auto &[name, source] : document.at("services").items()) {
            auto &service = part.services[name];
            source.at("targets").get_to(service.targets);
            service.counts = countsFromJson(source.at("counts"));
            service.waiting =
                Distribution::fromBins(source.at("waitingBins").get<std::vector<std::uint64_t>>());
            source.at("lateByCaller").get_to(service.lateByCaller);
        }
        return part;
    } catch (const std::exception &exception) {
        return Error{ ErrorKind::Invalid, "burn.decode", {}, exception.what() };
    }
}

std::string reportAsJson(const BurnReport &report)
{
    json services = json::object();
    for (const auto &[name, service] : report.services) {
        json objectives = json::object();
        for (std::size_t objective = 0; objective < objectiveCount; ++objective) {
            const double target = service.targets[objective];
            if (target <= 0.0)
                continue;
            json windows = json::object();
            for (std::size_t window = 0; window < burnWindows.size(); ++window) {
                const auto &count = service.counts[window][objective];
                windows[std::to_string(burnWindows[window].count()) + "m"] = {
                    { "total", count.total },
                    { "bad", count.bad },
                    { "burnRate", burnRate(count, target) }
                };
            }
            objectives[objectiveNames[objective]] = {
                { "target", target },
                { "budgetLeft", budgetLeft(service.counts.back()[objective], target) },
                { "windows", std::move(windows) }
            };
        }
        services[name] = { { "objectives", std::move(objectives) },
                           { "waitingP99Us", service.waiting.quantile(0.99).count() },
                           { "samples", service.waiting.samples() },
                           { "lateByCaller", service.lateByCaller } };
    }
    json gaps = json::array();
    for (const auto &gap : report.gaps)
        gaps.push_back({ { "daemon", gap.daemon },
                         { "windowMinutes", gap.window.count() },
                         { "coveredMinutes", gap.covered.count() } });
    return json({ { "services", std::move(services) }, { "gaps", std::move(gaps) } }).dump(2);
}

std::string reportAsText(const BurnReport &report)
{
    std::ostringstream out;
    out << std::left << std::setw(24) << "SERVICE" << std::setw(14) << "OBJECTIVE" << std::setw(10)
        << "TARGET";
    for (const auto window : burnWindows)
        out << std::setw(12) << ("BURN " + std::to_string(window.count()) + "m");
    out << "BUDGET LEFT\n";
    for (const auto &[name, service] : report.services) {
        for (std::size_t objective = 0; objective < objectiveCount; ++objective) {
            const double target = service.targets[objective];
            if (target <= 0.0)
                continue;
            out << std::setw(24) << name << std::setw(14) << objectiveNames[objective]
                << std::setw(10) << percentage(target);
            for (const auto &window : service.counts)
                out << std::setw(12) << std::setprecision(3) << burnRate(window[objective], target);
            out << percentage(budgetLeft(service.counts.back()[objective], target)) << '\n';
        }
        for (const auto &[caller, count] : service.lateByCaller)
            out << "  missed deadlines of " << caller << ": " << count << '\n';
    }
    for (const auto &gap : report.gaps)
        out << "gap: " << gap.daemon << " covers " << gap.covered.count() << " of the last "
            << gap.window.count() << " minutes\n";
    return out.str();
}

} // namespace cowsliprock
