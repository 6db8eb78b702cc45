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

/// A class of jobs with its arrival rate and properties.
struct JobKind
{
    std::string name;
    double perSecond = 1.0; ///< Mean arrival rate of a Poisson process.
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 2;
    std::uint32_t steps = 1; ///< Each step runs after the one before.
    std::uint32_t tasks = 1; ///< Maximum tasks of a step; the count is uniform from 1 to this.
    Resources amount{ 1000, 1024, 0 }; ///< Resources of one task.
    Duration work{};                   ///< Mean run time of a task.
    double gangShare = 0;              ///< Share of jobs whose tasks are gang-scheduled.
    double failingShare = 0;           ///< Share of jobs whose tasks always fail.
    double cancelShare = 0; ///< Share of jobs that the client cancels after the mean run time.
    double repeatShare = 0; ///< Share of accepted submissions that are sent again seconds later.
    Duration adviceTime{};  ///< Response time of the policy service; 0: no policy.
};

/// Kinds of faults. "Owner" is the daemon that owns scheduling when the fault begins.
enum class FaultKind {
    DaemonKilled,
    OwnerKilled,
    AllDaemonsKilled,
    DaemonPaused, ///< By SIGSTOP, then SIGCONT.
    OwnerPaused,
    DaemonStopped, ///< By SIGTERM; the cell then restarts it.
    OwnerStopped,
    SettingsReload,
    StoreRefuses,   ///< For all daemons.
    StoreSilent,    ///< For all daemons.
    StoreCutForOne, ///< Refuses or ignores the requests of one daemon.
    StoreCutForOwner,
    StoreSlow,
    StoreLosesAnswers,
    StoreWritesLate,
    StoreForgets, ///< Compacts its history.
    WorkerCrashed,
    WorkerSilent,
    WorkerOrdersLate,
    WorkerLosesAnswers,
    WorkerRefuses,
    WorkerLeaves, ///< Is drained, then restarted.
    ConfigurationChanged,
    LinksReset,
    LinksSilenced,
    LinksDelayed,
    LinkCutOneWay,    ///< Between a daemon and the store.
    OwnerPartitioned, ///< Separates the owner and half of the workers from store and all others.
    GroupPartitioned, ///< Separates some daemons and workers from store and all others.
};

/// Name of a kind in a plan document.
[[nodiscard]] const char *toString(FaultKind kind) noexcept;

/// A scheduled fault.
struct Fault
{
    FaultKind kind = FaultKind::DaemonKilled;
    Duration at{};            ///< Offset from the start of the submission phase.
    Duration duration{};      ///< Ignored for instantaneous faults.
    std::uint32_t target = 0; ///< Index of the daemon or worker, modulo their number.
};

/// An experiment: size of the cell, load and faults.
struct Plan
{
    std::uint32_t seed = 1;
    std::uint32_t daemons = 3;
    std::uint32_t workers = 8;
    Resources workerCapacity{ 16000, 65536, 0 };
    Duration storeDelay{ std::chrono::milliseconds(2) };
    Duration length{ std::chrono::seconds(20) }; ///< Submission phase.
    Duration settle{ std::chrono::seconds(25) }; ///< Follows; all accepted jobs must end in it.
    std::vector<JobKind> kinds;
    std::vector<Fault> faults;
};

/// Parses a plan document. Returns all errors of the document, not only the first.
[[nodiscard]] std::variant<Plan, std::vector<DocumentError>> parsePlan(std::string_view text);

/// Serializes a plan to a document for parsePlan().
[[nodiscard]] std::string formatPlan(const Plan &plan);

/// Generates a plan with overlapping faults from a seed. \p scale multiplies the size of the cell
/// and the load.
[[nodiscard]] Plan randomPlan(std::uint32_t seed, std::uint32_t scale);

} // namespace cowsliprock::experiment
