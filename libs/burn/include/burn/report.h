#pragma once

#include <base/error.h>
#include <base/distribution.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock {

/// Windows of the burn report, shortest first. Comparing a short and a long window distinguishes an
/// acute failure from a gradual one.
inline constexpr std::array<std::chrono::minutes, 4> burnWindows = { std::chrono::minutes(5),
                                                                     std::chrono::minutes(60),
                                                                     std::chrono::minutes(360),
                                                                     std::chrono::minutes(4320) };

enum class Objective { Waiting, Deadline, Availability };
inline constexpr std::size_t objectiveCount = 3;

/// Total and bad events of one objective in one window.
struct ObjectiveCount
{
    std::uint64_t total = 0;
    std::uint64_t bad = 0;

    bool operator==(const ObjectiveCount &) const = default;
};

/// Event counts by window and objective.
using WindowCounts = std::array<std::array<ObjectiveCount, objectiveCount>, burnWindows.size()>;

/// Counts of one service or job, of one daemon or merged.
struct ServiceBurn
{
    std::array<double, objectiveCount> targets{}; ///< Required share of good events; 0 if unset.
    WindowCounts counts{};
    Distribution waiting;                              ///< Over the longest window.
    std::map<std::string, std::uint64_t> lateByCaller; ///< Missed deadlines, longest window.
};

/// The contribution of one daemon to the report.
struct BurnPart
{
    std::string daemon;
    std::uint64_t incarnation = 0;
    std::chrono::minutes age{ 0 }; ///< Time for which this incarnation has been counting.
    std::map<std::string, ServiceBurn> services;
};

/// A window that is not fully covered by a daemon's part.
struct BurnGap
{
    std::string daemon;
    std::chrono::minutes window{ 0 };
    std::chrono::minutes covered{ 0 }; ///< 0 for a daemon that did not answer.
};

/// The report merged from the parts of all daemons.
struct BurnReport
{
    std::map<std::string, ServiceBurn> services;
    std::vector<BurnGap> gaps;
};

/// Rate at which the error budget is consumed; a rate of 1 exhausts it exactly at the end of the
/// objective's period.
[[nodiscard]] double burnRate(const ObjectiveCount &count, double target) noexcept;

/// Remaining share of the error budget over the longest window; negative if it is overspent.
[[nodiscard]] double budgetLeft(const ObjectiveCount &count, double target) noexcept;

/// Merges the parts of the daemons that answered. Reports gaps for daemons of \p expected without a
/// part and for windows longer than a part's age.
[[nodiscard]] BurnReport mergeParts(const std::vector<BurnPart> &parts,
                                    const std::vector<std::string> &expected);

[[nodiscard]] std::string encodePart(const BurnPart &part);
[[nodiscard]] Result<BurnPart> decodePart(std::string_view text);

/// Format the merged report as JSON and as a text table.
[[nodiscard]] std::string reportAsJson(const BurnReport &report);
[[nodiscard]] std::string reportAsText(const BurnReport &report);

} // namespace cowsliprock
