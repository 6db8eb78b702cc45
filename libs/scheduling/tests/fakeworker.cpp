#include "fakeworker.h"

namespace cowsliprock::test {

bool FakeWorker::start(const TaskLaunch &launch, Duration lease, TimePoint now)
{
    if (refuses)
        return false;
    if (m_tasks.contains(launch.attempt))
        return true;
    // Service instances run until they are stopped.
    const TimePoint endsAt =
        launch.service.empty() ? now + launch.expectedRunTime : TimePoint::max();
    m_tasks[launch.attempt] = { launch, TaskState::Running, endsAt, now + lease, {} };
    return true;
}

bool FakeWorker::stop(const AttemptId &attempt, TimePoint now)
{
    const auto iterator = m_tasks.find(attempt);
    if (iterator != m_tasks.end() && live(iterator->second)) {
        iterator->second.state = TaskState::Stopped;
        iterator->second.endedAt = now;
    }
    return true;
}

event::WorkerReport FakeWorker::report(const std::vector<AttemptId> &renew, Duration lease,
                                       TimePoint now)
{
    advance(now);
    for (const auto &attempt : renew) {
        if (const auto iterator = m_tasks.find(attempt); iterator != m_tasks.end())
            iterator->second.leaseEnd = now + lease;
    }
    event::WorkerReport result;
    result.capacity = capacity;
    for (const auto &[attempt, task] : m_tasks) {
        if (!live(task) && task.endedAt + std::chrono::seconds(60) < now)
            continue;
        Resources used = task.launch.declared;
        used.cpuMillis = used.cpuMillis * usedPercent / 100;
        result.tasks.push_back({ attempt, task.launch.job, task.launch.index, task.state,
                                 task.launch.declared, used });
    }
    return result;
}

void FakeWorker::advance(TimePoint now)
{
    for (auto &[attempt, task] : m_tasks) {
        if (!live(task))
            continue;
        const bool fails =
            static_cast<double>(stableHash(attempt.value()) % 1000) < failureShare * 1000;
        if (task.endsAt <= now) {
            task.state = fails ? TaskState::Failed : TaskState::Succeeded;
            task.endedAt = task.endsAt;
        } else if (task.leaseEnd <= now) {
            task.state = TaskState::Lapsed;
            task.endedAt = task.leaseEnd;
        }
    }
}

Resources FakeWorker::declaredLive() const
{
    Resources sum;
    for (const auto &[attempt, task] : m_tasks) {
        if (live(task))
            sum += task.launch.declared;
    }
    return sum;
}

} // namespace cowsliprock::test
