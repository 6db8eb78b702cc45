#pragma once

#include "context.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::scheduling {

enum class TaskPhase {
    Recovering, ///< Inherited from an earlier home; its state is not known yet.
    Queued,
    Waiting,    ///< Waiting for the next attempt after a failure.
    Reserving,  ///< A reservation was requested from an owner.
    Reserved,   ///< Gang member whose reservation is granted while others are pending.
    Journaling, ///< The intent is being written to the journal.
    Starting,
    Running,
    Stopping, ///< Waiting for proof that the attempt has ended.
    Succeeded,
    Failed,
    Stopped
};

[[nodiscard]] constexpr bool isFinal(TaskPhase phase) noexcept
{
    return phase == TaskPhase::Succeeded || phase == TaskPhase::Failed
        || phase == TaskPhase::Stopped;
}

/// Attempt of an earlier home for which there is no proof that it has ended.
struct InheritedAttempt
{
    AttemptId attempt;
    WorkerName worker;
};

struct Task
{
    TaskPhase phase = TaskPhase::Queued;
    AttemptId attempt;
    WorkerName worker;
    TimePoint workerKnownAt;        ///< When the owner assigned or reported the worker.
    DaemonName owner;               ///< Daemon that was asked for, or that holds, the reservation.
    std::vector<DaemonName> owners; ///< Owners not yet asked in this round.
    bool preempting = false;
    bool stopRequested = false; ///< The task must not run again.
    bool usageCounted = false;  ///< Included in the team's usage.
    std::uint32_t starts = 0;
    TimePoint due; ///< Next retry or time-out; epoch if none.
    TimePoint queuedAt;
    TimePoint intentAt; ///< When the intent last became durable.
    std::vector<InheritedAttempt> inherited;
};

enum class GangPhase { Idle, Reserving, Journaling, Started, Stopping };

/// State of a gang, whose tasks start and fail together.
struct Gang
{
    GangPhase phase = GangPhase::Idle;
    std::vector<DaemonName> owners; ///< Ordered by their lowest partition.
    std::size_t nextOwner = 0;
    std::uint32_t outstanding = 0; ///< Unanswered reservations or intents.
    TimePoint reserveDeadline;
    std::uint32_t starts = 0;
    bool failed = false;          ///< A member failed; counts as a failed attempt of the gang.
    bool stoppingMembers = false; ///< Stop requests to the members are being sent.
};

class JobQueue;

struct Job
{
    AcceptedJob accepted;
    PartitionId partition;
    std::uint64_t epoch = 0;
    std::uint64_t attemptNumber = 0;
    std::uint64_t arrival = 0;
    TimePoint acceptedAt;
    TimePoint deadlineAt = TimePoint::max();
    TimePoint recoverUntil; ///< End of the period in which owners report tasks of an earlier home.
    TimePoint notBefore;    ///< Earliest next scheduling attempt.
    Duration backOff{ 0 };
    std::vector<Task> tasks;
    std::set<std::uint32_t> pending; ///< Indices of queued tasks.
    std::uint32_t finalTasks = 0;
    std::uint32_t failedTasks = 0;
    JobQueue *queue = nullptr; ///< Queue that contains the job, or null.
    bool waitsForCapacity = false;
    bool everStarted = false;
    bool endedLate = false;
    Gang gang;

    [[nodiscard]] const JobDefinition &definition() const noexcept { return accepted.definition; }
    [[nodiscard]] bool ended() const noexcept { return accepted.outcome != JobOutcome::None; }
    [[nodiscard]] bool isGang() const noexcept { return definition().kind == JobKind::Gang; }
    [[nodiscard]] bool isService() const noexcept { return definition().kind == JobKind::Service; }
    [[nodiscard]] bool late(TimePoint now) const noexcept
    {
        return ended() ? endedLate : deadlineAt < now;
    }

    /// Resources required by the next scheduling decision: one task or the whole gang.
    [[nodiscard]] Resources nextDemand() const noexcept
    {
        return isGang() ? definition().perTask * definition().taskCount : definition().perTask;
    }
};

} // namespace cowsliprock::scheduling
