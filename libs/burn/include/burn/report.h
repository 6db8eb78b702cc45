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

/// Windows of the burn report, shortest first. A short and a long one together tell a sharp
/// failure from a slow one.
inline constexpr std::array<std::chrono::minutes, 4> burnWindows = { std::chrono::minutes(5),
                                                                     std::chrono::minutes(60),
                                                                     std::chrono::minutes(360),
                                                                     std::chrono::minutes(4320) };

enum class Objective { Waiting, Deadline, Availability };
inline constexpr std::size_t objectiveCount = 3;

/// Good and bad events of one objective in one window.
struct ObjectiveCount
{
    std::uint64_t total = 0;
    std::uint64_t bad = 0;

    bool operator==(const ObjectiveCount &) const = default;
};

/// Counts by window and objective.
using WindowCounts = std::array<std::array<ObjectiveCount, objectiveCount>, burnWindows.size()>;

/// One daemon's part for one service or job.
struct ServiceBurn
{
    std::array<double, objectiveCount> targets{}; ///< Share of good events; 0: no objective.
    WindowCounts counts{};
    Distribution waiting;                              ///< Over the longest window.
    std::map<std::string, std::uint64_t> lateByCaller; ///< Missed deadlines, longest window.
};

/// One daemon's part of the report.
struct BurnPart
{
    std::string daemon;
    std::uint64_t incarnation = 0;
    std::chrono::minutes age{ 0 }; ///< How long this incarnation has been counting.
    std::map<std::string, ServiceBurn> services;
};

/// A window that a daemon's part does not cover.
struct BurnGap
{
    std::string daemon;
    std::chrono::minutes window{ 0 };
    std::chrono::minutes covered{ 0 }; ///< 0 for a daemon that did not answer.
};

/// The merged report of all daemons.
struct BurnReport
{
    std::map<std::string, ServiceBurn> services;
    std::vector<BurnGap> gaps;
};

/// Rate at which the error budget is used: 1 uses it up exactly over the objective's period.
[[nodiscard]] double burnRate(const ObjectiveCount &count, double target) noexcept;

/// Share of the budget that is left over the longest window; negative when overspent.
[[nodiscard]] double budgetLeft(const ObjectiveCount &count, double target) noexcept;

/// Merges the parts of the daemons that answered. Daemons of \p expected without a part, and
/// windows longer than a part's age, become gaps.
[[nodiscard]] BurnReport mergeParts(const std::vector<BurnPart> &parts,
                                    const std::vector<std::string> &expected);

[[nodiscard]] std::string encodePart(const BurnPart &part);
[[nodiscard]] Result<BurnPart> decodePart(std::string_view text);

/// The merged report as JSON and as a text table.
[[nodiscard]] std::string reportAsJson(const BurnReport &report);
[[nodiscard]] std::string reportAsText(const BurnReport &report);

} // namespace cowsliprock
