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

[[nodiscard]] bool runs(TaskState state) noexcept
{
    return state == TaskState::Starting || state == TaskState::Running
        || state == TaskState::Throttled;
}

void raise(Resources &maximum, const Resources &sum)
{
    maximum.cpuMillis = std::max(maximum.cpuMillis, sum.cpuMillis);
    maximum.memoryMb = std::max(maximum.memoryMb, sum.memoryMb);
    maximum.accelerators = std::max(maximum.accelerators, sum.accelerators);
}

/// A throttled task runs at half its speed.
void changeSpeed(TaskRun &run, TaskState state, TaskRun::SteadyTime now)
{
    if (run.state == state)
        return;
    run.state = state;
    if (run.dueAt) {
        const auto left = *run.dueAt - now;
        run.dueAt = now + (state == TaskState::Throttled ? left * 2 : left / 2);
    }
}

} // namespace

Worker::Worker(WorkerTraits traits)
    : m_traits(std::move(traits))
{ }

Worker::Started Worker::start(const TaskStart &start)
{
    const std::lock_guard guard(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    advance(now);
    if (m_tasks.contains(start.launch.attempt))
        return Started::Before;
    if (m_faults.refuse)
        return Started::Refused;
    TaskRun run{ start.launch, TaskState::Running, now, now + start.lease, {}, {} };
    if (start.launch.service.empty()) {
        const auto time = m_traits.taskTime.count() > 0
            ? m_traits.taskTime
            : duration_cast<milliseconds>(start.launch.expectedRunTime);
        run.dueAt = now + (time.count() > 0 ? time : defaultTaskTime);
    }
    if (m_faults.failStarts) {
        run.state = TaskState::Failed;
        run.endedAt = now;
    }
    m_tasks.emplace(start.launch.attempt, std::move(run));
    observeLoad();
    return Started::Now;
}

void Worker::observeLoad()
{
    Resources sum;
    std::map<std::string, std::uint32_t> slots;
    for (const auto &[attempt, task] : m_tasks) {
        if (!runs(task.state))
            continue;
        sum += task.launch.declared;
        if (!task.launch.service.empty())
            slots[task.launch.service] += task.launch.slots;
    }
    raise(m_observations.maximumDeclared, sum);
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
    if (!runs(run.state))
        return run.state;
    if (mode == "throttle" || mode == "unthrottle") {
        changeSpeed(run, mode == "throttle" ? TaskState::Throttled : TaskState::Running, now);
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
            found != m_tasks.end() && runs(found->second.state))
            found->second.leaseUntil = now + lease;
    }
    event::WorkerReport result;
    result.worker = m_traits.name;
    result.capacity = m_traits.capacity;
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
        m_observations.latestAfterLeaving = duration_cast<milliseconds>(now - *m_leavingSince);
    if (m_leavingSince || m_faults.refuse || !offers(service)) {
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
        if (runs(run.state)) {
            const bool done = run.dueAt && *run.dueAt <= run.leaseUntil;
            if (const SteadyTime end = done ? *run.dueAt : run.leaseUntil; end <= now) {
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

bool Worker::offers(const std::string &service) const
{
    return std::any_of(m_tasks.begin(), m_tasks.end(), [&](const auto &task) {
        return runs(task.second.state) && task.second.launch.service == service;
    });
}

TaskReport Worker::toReport(const TaskRun &run, SteadyTime now) const
{
    TaskReport result{ run.launch.attempt, run.launch.job,      run.launch.index,
                       run.state,          run.launch.declared, {} };
    if (now - run.startedAt >= m_traits.usageLag) {
        const auto share = [this](std::int64_t amount) {
            return static_cast<std::int64_t>(static_cast<double>(amount) * m_traits.usedShare);
        };
        const Resources &declared = run.launch.declared;
        result.used = { share(declared.cpuMillis), share(declared.memoryMb),
                        declared.accelerators };
    }
    return result;
}

std::vector<EndpointReport> Worker::endpoints() const
{
    std::map<std::string, EndpointReport> byService;
    for (const auto &[attempt, run] : m_tasks) {
        const std::string &service = run.launch.service;
        if (!runs(run.state) || service.empty())
            continue;
        EndpointReport &report = byService[service];
        report.service = service;
        report.address = m_traits.address;
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

std::vector<TaskOverlap> overlapsOf(std::vector<TaskRun> runs)
{
    const auto place = [](const TaskRun &run) {
        return std::tie(run.launch.job, run.launch.index, run.startedAt);
    };
    std::sort(runs.begin(), runs.end(), [&](const TaskRun &left, const TaskRun &right) {
        return place(left) < place(right);
    });
    std::vector<TaskOverlap> result;
    const TaskRun *longest = nullptr; // of this task, the run that ends last
    for (const TaskRun &run : runs) {
        const bool same = longest && longest->launch.job == run.launch.job
            && longest->launch.index == run.launch.index;
        if (same && (!longest->endedAt || *longest->endedAt > run.startedAt)) {
            result.push_back(
                { run.launch.job, run.launch.index, longest->launch.attempt, run.launch.attempt });
        }
        if (!same || (longest->endedAt && (!run.endedAt || *run.endedAt > *longest->endedAt)))
            longest = &run;
    }
    return result;
}

} // namespace cowsliprock::standin
