#pragma once

#include <base/resources.h>
#include <base/time.h>
#include <schema/documentcheck.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cowsliprock::experiment {

/// Jobs of one kind that the callers submit.
struct JobKind
{
    std::string name;
    double perSecond = 1.0;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 2;
    std::uint32_t steps = 1; ///< One after the other.
    std::uint32_t tasks = 1; ///< Most tasks of a step; each job draws from 1 to this many.
    Resources amount{ 1000, 1024, 0 }; ///< Of one task.
    Duration work{};                   ///< Mean time of one task.
    double gangShare = 0;              ///< Share of jobs whose tasks must run together.
    double failingShare = 0;           ///< Share of jobs whose tasks always fail.
    double cancelShare = 0;            ///< Share of jobs that are cancelled after a while.
    double repeatShare = 0;            ///< Share of submissions that arrive again seconds later.
    Duration adviceTime{};             ///< Of one decision of the policy service; 0: no policy.
};

enum class TroubleKind {
    DaemonKilled,
    OwnerKilled,
    AllDaemonsKilled,
    DaemonPaused,
    OwnerPaused,
    DaemonStopped, ///< By SIGTERM, then started again.
    OwnerStopped,
    SettingsReload,
    StoreRefuses,   ///< For all daemons.
    StoreSilent,    ///< For all daemons.
    StoreCutForOne, ///< Refuses one daemon only.
    StoreCutForOwner,
    StoreSlow,
    StoreLosesAnswers,
    StoreWritesLate,
    StoreForgets, ///< Drops its history.
    WorkerCrashed,
    WorkerSilent,
    WorkerOrdersLate,
    WorkerLosesAnswers,
    WorkerRefuses,
    WorkerLeaves,
    ConfigurationChanged,
    LinksReset,
    LinksSilenced,
    LinksDelayed,
    LinkCutOneWay,
};

[[nodiscard]] const char *toString(TroubleKind kind) noexcept;

struct Trouble
{
    TroubleKind kind = TroubleKind::DaemonKilled;
    Duration at{};            ///< From the first job on.
    Duration time{};          ///< How long it lasts; 0 for those that are over at once.
    std::uint32_t target = 0; ///< Number of the daemon or worker, modulo their count.
};

/// What an experiment plays: a cell, a load and a list of troubles.
struct Plan
{
    std::uint32_t seed = 1;
    std::uint32_t daemons = 3;
    std::uint32_t workers = 8;
    Resources workerCapacity{ 16000, 65536, 0 };
    Duration storeDelay{ std::chrono::milliseconds(2) };
    Duration length{ std::chrono::seconds(20) }; ///< In which jobs are submitted.
    Duration settle{ std::chrono::seconds(25) }; ///< In which all accepted jobs must end.
    std::vector<JobKind> kinds;
    std::vector<Trouble> troubles;
};

/// Reads a plan; all faults of the document are reported at once.
[[nodiscard]] std::variant<Plan, std::vector<DocumentError>> parsePlan(std::string_view text);

/// The document of a plan, as parsePlan() reads it.
[[nodiscard]] std::string formatPlan(const Plan &plan);

/// A plan with overlapping troubles drawn from a seed. \p scale multiplies the size of the cell.
[[nodiscard]] Plan randomPlan(std::uint32_t seed, std::uint32_t scale);

} // namespace cowsliprock::experiment
