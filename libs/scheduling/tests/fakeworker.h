#pragma once

#include <kernel/effects.h>
#include <kernel/events.h>

#include <map>
#include <string>
#include <vector>

namespace cowsliprock::test {

/// A worker that starts whatever it is given and records when that breaks a guarantee.
class FakeWorker
{
public:
    struct Task
    {
        TaskLaunch launch;
        TaskState state = TaskState::Running;
        TimePoint endsAt;
        TimePoint leaseEnd;
        TimePoint endedAt;
    };

    Resources capacity{ 16'000, 65'536, 0 };
    bool refuses = false;
    bool cutOff = false;     ///< Runs, but no call reaches it.
    int usedPercent = 100;   ///< Of the declared processors.
    double failureShare = 0; ///< Of tasks that end as failed; decided by their attempt's hash.

    /// False if the worker refuses; an attempt that it already has is not started again.
    bool start(const TaskLaunch &launch, Duration lease, TimePoint now);
    [[nodiscard]] bool stop(const AttemptId &attempt, TimePoint now);
    [[nodiscard]] event::WorkerReport report(const std::vector<AttemptId> &renew, Duration lease,
                                             TimePoint now);
    void advance(TimePoint now);

    [[nodiscard]] Resources declaredLive() const;
    [[nodiscard]] const std::map<AttemptId, Task> &tasks() const noexcept { return m_tasks; }
    [[nodiscard]] static bool live(const Task &task) noexcept
    {
        return task.state == TaskState::Running;
    }

private:
    std::map<AttemptId, Task> m_tasks;
};

} // namespace cowsliprock::test
