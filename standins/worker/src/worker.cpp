#include <standinworker/worker.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cowsliprock::standin {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::chrono::seconds endedTaskRetention{ 60 };
constexpr milliseconds defaultTaskTime{ 1000 };

[[nodiscard]] bool isActive(TaskState state) noexcept
{
    return state == TaskState::Starting || state == TaskState::Running
        || state == TaskState::Throttled;
}

void updateMaximum(Resources &maximum, const Resources &sum)
{
    maximum.cpuMillis = std::max(maximum.cpuMillis, sum.cpuMillis);
    maximum.memoryMb = std::max(maximum.memoryMb, sum.memoryMb);
    maximum.accelerators = std::max(maximum.accelerators, sum.accelerators);
}

/// Adjusts the completion time on a change of state: a throttled task runs at half speed.
void setThrottleState(TaskRun &run, TaskState state, TaskRun::SteadyTime now)
{
    if (run.state == state)
        return;
    run.state = state;
    if (run.completesAt) {
        const auto left = *run.completesAt - now;
        run.completesAt = now + (state == TaskState::Throttled ? left * 2 : left / 2);
    }
}

} // namespace

Worker::Worker(WorkerProperties properties)
    : m_properties(std::move(properties))
{ }

Worker::StartResult Worker::start(const TaskStart &start)
{
    const std::lock_guard guard(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    advance(now);
    if (m_tasks.contains(start.launch.attempt))
        return StartResult::AlreadyExists;
    if (m_faults.refuse)
        return StartResult::Refused;
    TaskRun run{ start.launch, TaskState::Running, now, now + start.lease, {}, {} };
    if (start.launch.service.empty()) {
        const auto time = m_properties.taskTime.count() > 0
            ? m_properties.taskTime
            : duration_cast<milliseconds>(start.launch.expectedRunTime);
        run.completesAt = now + (time.count() > 0 ? time : defaultTaskTime);
    }
    if (m_faults.failStarts) {
        run.state = TaskState::Failed;
        run.endedAt = now;
    }
    m_tasks.emplace(start.launch.attempt, std::move(run));
    recordLoad();
    return StartResult::Created;
}

void Worker::recordLoad()
{
    Resources sum;
    std::map<std::string, std::uint32_t> slots;
    for (const auto &[attempt, task] : m_tasks) {
        if (!isActive(task.state))
            continue;
        sum += task.launch.declared;
        if (!task.launch.service.empty())
            slots[task.launch.service] += task.launch.slots;
    }
    updateMaximum(m_observations.maximumDeclared, sum);
    for (const auto &[service, count] : slots)
        m_observations.slots[service] = std::max(m_observations.slots[service], count);
}

std::optional<TaskState> Worker::stop(const AttemptId &attempt, const std::string &mode)
{
    const std::lock_guard guard(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    advance(now);
    const auto found = m_tasks.find(attempt);
    if (found == m_tasks.end())
        return std::nullopt;
    TaskRun &run = found->second;
    if (!isActive(run.state))
        return run.state;
    if (mode == "throttle" || mode == "unthrottle") {
        setThrottleState(run, mode == "throttle" ? TaskState::Throttled : TaskState::Running, now);
    } else {
        run.state = TaskState::Stopped;
        run.endedAt = now;
    }
    return run.state;
}

event::WorkerReport Worker::report(const std::vector<AttemptId> &renew, milliseconds lease)
{
    const std::lock_guard guard(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    advance(now);
    for (const AttemptId &attempt : renew) {
        if (const auto found = m_tasks.find(attempt);
            found != m_tasks.end() && isActive(found->second.state))
            found->second.leaseUntil = now + lease;
    }
    event::WorkerReport result;
    result.worker = m_properties.name;
    result.capacity = m_properties.capacity;
    for (const auto &[attempt, run] : m_tasks)
        result.tasks.push_back(toReport(run, now));
    result.endpoints = endpoints();
    return result;
}

Worker::Admission Worker::beginRequest(const std::string &service, const std::string &attempt,
                                       const std::string &key)
{
    const std::lock_guard guard(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    advance(now);
    if (m_leavingSince)
        m_observations.lastRequestAfterLeaving = duration_cast<milliseconds>(now - *m_leavingSince);
    if (m_leavingSince || m_faults.refuse || !offersService(service)) {
        ++m_observations.requestsRefused;
        return m_leavingSince ? Admission::Leaving : Admission::Refused;
    }
    ++m_observations.attempts[attempt];
    if (!key.empty())
        ++m_observations.keys[key];
    std::uint32_t &maximum = m_observations.maximumRequests[service];
    maximum = std::max(maximum, ++m_activeRequests[service]);
    return Admission::Accepted;
}

void Worker::endRequest(const std::string &service)
{
    const std::lock_guard guard(m_mutex);
    --m_activeRequests[service];
}

void Worker::setFaults(const WorkerFaults &faults)
{
    const std::lock_guard guard(m_mutex);
    m_faults = faults;
    if (!faults.leaving)
        m_leavingSince.reset();
    else if (!m_leavingSince)
        m_leavingSince = std::chrono::steady_clock::now();
}

WorkerFaults Worker::faults() const
{
    const std::lock_guard guard(m_mutex);
    return m_faults;
}

Worker::Observations Worker::observations()
{
    const std::lock_guard guard(m_mutex);
    advance(std::chrono::steady_clock::now());
    Observations result = m_observations;
    for (const auto &[attempt, run] : m_tasks)
        result.runs.push_back(run);
    return result;
}

void Worker::advance(SteadyTime now)
{
    for (auto task = m_tasks.begin(); task != m_tasks.end();) {
        TaskRun &run = task->second;
        if (isActive(run.state)) {
            const bool done = run.completesAt && *run.completesAt <= run.leaseUntil;
            if (const SteadyTime end = done ? *run.completesAt : run.leaseUntil; end <= now) {
                run.state = done ? TaskState::Succeeded : TaskState::Lapsed;
                run.endedAt = end;
            }
        }
        if (run.endedAt && now - *run.endedAt > endedTaskRetention) {
            m_observations.runs.push_back(std::move(run));
            task = m_tasks.erase(task);
        } else {
            ++task;
        }
    }
}

bool Worker::offersService(const std::string &service) const
{
    return std::any_of(m_tasks.begin(), m_tasks.end(), [&](const auto &task) {
        return isActive(task.second.state) && task.second.launch.service == service;
    });
}

TaskReport Worker::toReport(const TaskRun &run, SteadyTime now) const
{
    TaskReport result{ run.launch.attempt, run.launch.job,      run.launch.index,
                       run.state,          run.launch.declared, {} };
    if (now - run.startedAt >= m_properties.usageDelay) {
        const auto scaled = [this](std::int64_t amount) {
            return static_cast<std::int64_t>(static_cast<double>(amount) * m_properties.usedShare);
        };
        const Resources &declared = run.launch.declared;
        result.used = { scaled(declared.cpuMillis), scaled(declared.memoryMb),
                        declared.accelerators };
    }
    return result;
}

std::vector<EndpointReport> Worker::endpoints() const
{
    std::map<std::string, EndpointReport> byService;
    for (const auto &[attempt, run] : m_tasks) {
        const std::string &service = run.launch.service;
        if (!isActive(run.state) || service.empty())
            continue;
        EndpointReport &report = byService[service];
        report.service = service;
        report.address = m_properties.address;
        report.slots += run.launch.slots;
        report.connections += run.launch.connections;
        report.leaving = m_leavingSince.has_value();
        if (const auto active = m_activeRequests.find(service); active != m_activeRequests.end())
            report.activeRequests = active->second;
    }
    std::vector<EndpointReport> result;
    result.reserve(byService.size());
    for (auto &[service, report] : byService)
        result.push_back(std::move(report));
    return result;
}

std::vector<TaskOverlap> findOverlaps(std::vector<TaskRun> runs)
{
    const auto sortKey = [](const TaskRun &run) {
        return std::tie(run.launch.job, run.launch.index, run.startedAt);
    };
    std::sort(runs.begin(), runs.end(), [&](const TaskRun &left, const TaskRun &right) {
        return sortKey(left) < sortKey(right);
    });
    std::vector<TaskOverlap> result;
    const TaskRun *latestEnding = nullptr; // The run of the current task that ends last.
    for (const TaskRun &run : runs) {
        const bool sameTask = latestEnding && latestEnding->launch.job == run.launch.job
            && latestEnding->launch.index == run.launch.index;
        if (sameTask && (!latestEnding->endedAt || *latestEnding->endedAt > run.startedAt)) {
            result.push_back({ run.launch.job, run.launch.index, latestEnding->launch.attempt,
                               run.launch.attempt });
        }
        if (!sameTask
            || (latestEnding->endedAt && (!run.endedAt || *run.endedAt > *latestEnding->endedAt)))
            latestEnding = &run;
    }
    return result;
}

} // namespace cowsliprock::standin
