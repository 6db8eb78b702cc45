#pragma once

#include "context.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::scheduling {

enum class TaskPhase {
    Recovering, ///< Taken over from an earlier home; what became of it is not known yet.
    Queued,
    Waiting,    ///< For the next attempt, after a failure.
    Reserving,  ///< An owner was asked.
    Reserved,   ///< Of a gang: granted, while others are not.
    Journaling, ///< The intent is being made durable.
    Starting,
    Running,
    Stopping, ///< Until the end of the attempt is proven.
    Succeeded,
    Failed,
    Stopped
};

[[nodiscard]] constexpr bool isFinal(TaskPhase phase) noexcept
{
    return phase == TaskPhase::Succeeded || phase == TaskPhase::Failed
        || phase == TaskPhase::Stopped;
}

/// An attempt of an earlier home whose end is not proven.
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
    TimePoint workerKnownAt;        ///< When the worker was named by its owner.
    DaemonName owner;               ///< Daemon that was asked, or that holds the reservation.
    std::vector<DaemonName> owners; ///< Left to ask in this round.
    bool preempting = false;
    bool stopWanted = false; ///< The task must not run again.
    bool counted = false;    ///< In the team's usage.
    std::uint32_t starts = 0;
    TimePoint due; ///< Next repetition or time-out; epoch if none.
    TimePoint queuedAt;
    TimePoint intentAt; ///< When the intent was last made durable.
    std::vector<InheritedAttempt> inherited;
};

enum class GangPhase { Idle, Reserving, Journaling, Started, Stopping };

/// State of the attempts of a gang, which start and fail together.
struct Gang
{
    GangPhase phase = GangPhase::Idle;
    std::vector<DaemonName> owners; ///< In the order of their lowest partition.
    std::size_t next = 0;
    std::uint32_t outstanding = 0; ///< Reservations or intents without an answer.
    TimePoint giveUpAt;
    std::uint32_t starts = 0;
    bool failed = false; ///< A member failed, which counts as an attempt.
    bool asking = false; ///< Members are being asked to stop.
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
    TimePoint recoverUntil; ///< Until then owners may announce tasks of an earlier home.
    TimePoint notBefore;    ///< After a round without capacity.
    Duration backOff{ 0 };
    std::vector<Task> tasks;
    std::set<std::uint32_t> pending; ///< Indices of queued tasks.
    std::uint32_t finalTasks = 0;
    std::uint32_t failedTasks = 0;
    JobQueue *queue = nullptr; ///< The queue that the job is in.
    bool waitsForCapacity = false;
    bool startedOnce = false;
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

    /// What the next decision needs: one task, or the whole gang.
    [[nodiscard]] Resources nextNeed() const noexcept
    {
        return isGang() ? definition().perTask * definition().taskCount : definition().perTask;
    }
};

} // namespace cowsliprock::scheduling
