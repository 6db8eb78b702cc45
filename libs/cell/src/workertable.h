#pragma once

#include <cell/model.h>
#include <cell/ports.h>

#include <base/resources.h>
#include <base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace cowsliprock::cell {

enum class RunPhase {
    Starting, ///< The order was sent; its outcome is not known.
    Running,
    Stopping, ///< To be stopped; may still be at work.
};

/// What the stored roster says of a worker.
enum class RosterState {
    Absent, ///< Nothing of this cell runs there.
    Closed, ///< It runs tasks of the jobs that are named, and gets no orders.
    Open,   ///< It may get orders.
};

using RunKey = std::pair<TaskId, std::uint32_t>;

/// One start of a task on one worker. It holds capacity until its end is certain.
struct Run
{
    TaskId task;
    std::uint32_t number = 0;
    Resources held;
    bool sizeUnknown = false; ///< Its job is not known any more.
    std::uint32_t priority = 0;
    RunPhase phase = RunPhase::Starting;
    bool gang = false;
    bool adopted = false; ///< An earlier owner started it, at a time that is not known.
    TimePoint ordered{};
    TimePoint confirmed{}; ///< Since when the worker is known to have it.
    bool listed = false;   ///< An inventory of the worker's present life has shown it.
    std::optional<TimePoint> stopConfirmed;
    bool startOpen = false;      ///< The order, or a repetition of it, may still be on its way.
    bool outcomeUnknown = false; ///< A start that was never answered ...
    TimePoint unknownSince{};    ///< ... since its last try was given up.
    std::uint32_t percent = 0;
    TimePoint progressed{}; ///< When the percentage was seen to rise, or the run began its work.
    std::string checkpoint;
};

/// Judgement of a worker by what became of its runs.
struct WorkerHealth
{
    std::uint32_t failuresInRow = 0;
    std::string lastFailedJob;
    std::uint32_t quarantines = 0;
    TimePoint quarantinedUntil{};
    TimePoint slowUntil{}; ///< Its runs have fallen behind: it gets nothing new until then.
};

struct Worker
{
    WorkerEntry entry;
    std::optional<TimePoint> unlistedSince; ///< Discovery does not show it.
    std::int64_t born = 0;                  ///< Life that the inventories speak of.
    std::uint64_t token = 0;                ///< Fencing token of orders to this life.
    bool fenced = false;                    ///< This life has accepted the token.
    std::uint64_t handledEnds = 0;          ///< Number of the last end that was handled.
    std::uint64_t awaitedEnds = 0;          ///< Number of the last end whose storing is awaited.
    std::uint64_t durableEnds = 0;          ///< Number of the last end that the worker may forget.
    std::set<std::string> jobsOfEnds;       ///< Of ends that are handled and not durable yet.
    std::chrono::milliseconds clock{};      ///< Its steady clock ...
    TimePoint clockReadAt{};                ///< ... at this time.
    std::chrono::milliseconds inventoryClock{}; ///< Its clock in the newest inventory.
    TimePoint leaseEnds{}; ///< Latest time at which everything on it has ended by itself.
    TimePoint lastContact{};
    bool reachable = false;
    bool usedBefore = false;   ///< An owner before this one may have started something there ...
    bool accountedFor = false; ///< ... but it has answered since, or its leases are over.
    /// Jobs of which that can be; nothing: of any job.
    std::optional<std::set<std::string>> formerJobs;
    RosterState inRoster = RosterState::Absent; ///< As stored.
    bool suspect = false; ///< An answer is overdue: nothing new until it comes.
    Resources held;
    std::uint32_t runsOfUnknownSize = 0; ///< While there are any, it takes nothing new.
    std::map<RunKey, Run> runs;
    WorkerHealth health;

    [[nodiscard]] Resources free() const noexcept { return entry.capacity - held; }
    [[nodiscard]] std::chrono::milliseconds clockAt(TimePoint now) const;
};

[[nodiscard]] WorkerTarget targetOf(const Worker &worker);

/// True if the order for the run may still reach a life of the worker that began before an
/// inventory which was \p asked then: it has no answer yet, was sent since, or was accepted by
/// nobody knows which life.
[[nodiscard]] bool mayStillCome(const Run &run, TimePoint asked) noexcept;

/// Capacity that a run of a task takes.
[[nodiscard]] Resources heldBy(const StepSpec &step) noexcept;

/// True if new tasks may be given to the worker now.
[[nodiscard]] bool usable(const Worker &worker, TimePoint now);

/// Adds a run to the ledger; returns it.
Run &addRun(Worker &worker, Run run);

/// Takes a run out of the ledger. False if it is not there.
bool removeRun(Worker &worker, const RunKey &key);

/// Notes that a run ended well.
void noteSuccess(Worker &worker) noexcept;

/// Notes that a run of \p job failed. Returns true if the worker gets quarantined by it.
bool noteFailure(Worker &worker, const std::string &job, TimePoint now);
void quarantine(Worker &worker, TimePoint now, Duration time);

/// By id. References stay valid until a worker is erased.
using WorkerTable = std::unordered_map<std::string, Worker>;

} // namespace cowsliprock::cell
