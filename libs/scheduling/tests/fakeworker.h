#pragma once

#include <kernel/effects.h>
#include <kernel/events.h>

#include <map>
#include <string>
#include <vector>

namespace cowsliprock::test {

/// Simulated worker that starts every task without checking its capacity, so that the test can
/// detect violated guarantees.
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
    bool isolated = false;   ///< Network partition: tasks run, but no call reaches the worker.
    int usedPercent = 100;   ///< CPU usage in percent of the declared amount.
    double failureShare = 0; ///< Share of tasks that fail, selected by the hash of their attempt.

    /// Returns false if the worker refuses. Starting a known attempt again has no effect.
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
