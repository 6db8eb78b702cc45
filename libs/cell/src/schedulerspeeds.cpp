#include "scheduler.h"

#include <algorithm>
#include <vector>

namespace cowsliprock::cell {

namespace {

/// Shorter runs are not compared, since the time until their end is seen would dominate.
constexpr std::chrono::milliseconds minComparedTime{ 100 };
/// Minimum interval between two assessments of the speeds.
constexpr std::chrono::milliseconds assessmentInterval{ 500 };
/// One in this many workers is slower than the slow speed, and one faster than the fast speed.
constexpr std::size_t extremeWorkersDivisor = 10;
/// A step has time for a slow worker if its objective allows this multiple of its expected time
/// there, since estimates can be far too low.
constexpr double patientMultiple = 2.5;
/// Additional slack of a step that has time for a slow worker.
constexpr std::chrono::seconds patientSlack{ 2 };
/// Capacity is left free on fast workers for this long after a task has needed one.
constexpr std::chrono::seconds urgentDemandRetention{ 2 };

} // namespace

void Scheduler::recordRunTime(const Run &run)
{
    Step *step = m_jobs.findStep(run.task);
    if (step == nullptr || step->tasks.size() < 2)
        return;
    const auto &spec = m_jobs.find(run.task.job)->spec(run.task.step);
    Task &task = step->tasks.at(run.task.index);
    // All members of a gang end with the slowest. The start of the others is not known exactly, or
    // they have done part of the work before.
    const bool comparable = !run.gang && !spec.bestEffort && !spec.longRunning && !run.adopted
        && !run.resumed && !run.outcomeUnknown && task.phase == TaskPhase::Placed
        && task.projected >= minComparedTime;
    if (!comparable)
        return;
    task.timed = true;
    const std::size_t ended = step->doneCount + 1;
    const std::size_t most = (3 * step->tasks.size() + 3) / 4;
    if (ended == most || ended == step->tasks.size())
        compareRuns(*step);
}

void Scheduler::compareRuns(Step &step)
{
    std::vector<RunTime> runs;
    for (auto &task : step.tasks) {
        if (task.projected >= minComparedTime)
            runs.push_back({ &task.worker, task.projected, std::exchange(task.timed, false) });
    }
    m_speeds.compare(runs, now());
    if (now() - m_speedsAssessedAt >= assessmentInterval)
        assessSpeeds();
}

void Scheduler::assessSpeeds()
{
    m_speedsAssessedAt = now();
    const bool before = m_speeds.heterogeneous();
    m_speeds.assess(now());
    const bool unlike = m_speeds.heterogeneous();
    if (unlike != before) {
        m_ports.log.write(now(), unlike ? "workers.unlike" : "workers.alike",
                          { { "speedSpread", m_speeds.spread() } });
    }
    if (!unlike && !before)
        return;
    std::vector<double> speeds;
    for (auto &[id, worker] : m_workers) {
        worker.speed = unlike ? m_speeds.speed(id) : 1;
        worker.speedClass = speedClass(worker.speed);
        speeds.push_back(worker.speed);
    }
    if (speeds.empty())
        return;
    std::sort(speeds.begin(), speeds.end());
    const auto extreme = speeds.size() / extremeWorkersDivisor;
    m_slowSpeed = speeds[extreme];
    m_fastSpeed = speeds[speeds.size() - 1 - extreme];
}

void Scheduler::recordUrgentDemand(const StepDemand &demand)
{
    if (!std::holds_alternative<FastestFirst>(demand.speed))
        return;
    const bool current = m_urgentDemand && now() - m_urgentDemand->seenAt < urgentDemandRetention;
    if (!current || demand.priority <= m_urgentDemand->priority)
        m_urgentDemand = { heldBy(*demand.spec), demand.priority, now() };
}

Resources Scheduler::fastHeadroom(const StepView &view, const SpeedPreference &speed) const
{
    const bool patient = std::holds_alternative<SlowestFirst>(speed) && view.band == 0;
    if (!patient || !m_urgentDemand || m_urgentDemand->priority >= view.job->record.queue.priority
        || now() - m_urgentDemand->seenAt >= urgentDemandRetention) {
        return {};
    }
    return m_urgentDemand->amount;
}

Scheduler::WorkersBySpeed Scheduler::countBySpeed() const
{
    WorkersBySpeed result;
    for (const Worker *worker : m_usableWorkers) {
        result.slow += worker->speedClass < 0 ? 1 : 0;
        result.fast += worker->speedClass > 0 ? 1 : 0;
    }
    return result;
}

Duration Scheduler::expectedTime(Duration estimate) const
{
    if (!m_speeds.heterogeneous())
        return estimate;
    return std::chrono::duration_cast<Duration>(estimate / m_meanSpeed);
}

void Scheduler::sortUsableBySpeed()
{
    m_meanSpeed = 1;
    m_fastestUsable.clear();
    m_slowestUsable.clear();
    if (!m_speeds.heterogeneous())
        return;
    double sum = 0;
    for (const Worker *worker : m_usableWorkers)
        sum += worker->speed;
    if (sum > 0)
        m_meanSpeed = sum / static_cast<double>(m_usableWorkers.size());
    m_fastestUsable = m_usableWorkers;
    sortBySpeed(m_fastestUsable, FastestFirst{});
    m_slowestUsable = m_usableWorkers;
    sortBySpeed(m_slowestUsable, SlowestFirst{});
}

const std::vector<Worker *> &Scheduler::usableInOrder(const SpeedPreference &speed) const
{
    // The verdict may be newer than the list.
    if (std::holds_alternative<FastestFirst>(speed) && !m_fastestUsable.empty())
        return m_fastestUsable;
    if (std::holds_alternative<SlowestFirst>(speed) && !m_slowestUsable.empty())
        return m_slowestUsable;
    return m_usableWorkers;
}

SpeedPreference Scheduler::speedPreference(const StepView &view) const
{
    if (!m_speeds.heterogeneous() || view.spec->longRunning || view.spec->bestEffort)
        return AnySpeed{};
    using Seconds = std::chrono::duration<double>;
    const auto after =
        expectedTime(view.job->criticalPath - view.job->criticalPathThrough.at(view.index));
    const Seconds available = view.job->objective(*view.occurrence) - after - now();
    const Seconds onSlow = Seconds(view.spec->estimate) / m_slowSpeed;
    const Seconds onFast = Seconds(view.spec->estimate) / m_fastSpeed;
    const bool lost = available < onFast;
    const bool patient = available >= std::max(patientMultiple * onSlow, onSlow + patientSlack);
    if (lost || patient)
        return SlowestFirst{};
    return FastestFirst{};
}

} // namespace cowsliprock::cell
