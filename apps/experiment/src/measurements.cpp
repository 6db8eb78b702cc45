#include <experiment/measurements.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cowsliprock::experiment {

using namespace cell;

namespace {

double inMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double quantile(std::vector<double> samples, double share)
{
    if (samples.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + index, samples.end());
    return samples[static_cast<std::size_t>(index)];
}

} // namespace

Measurements::Measurements(const Plan &plan, Timers &timers,
                           standincell::GuaranteeChecker &guarantees)
    : m_plan(plan)
    , m_timers(timers)
    , m_guarantees(guarantees)
    , m_kinds(plan.kinds.size())
{ }

void Measurements::begin()
{
    m_begin = m_timers.now();
    m_lastStart = m_begin;
}

Measurements::Counts &Measurements::currentSecond()
{
    const auto passed = std::chrono::duration_cast<std::chrono::seconds>(m_timers.now() - m_begin);
    const auto index = static_cast<std::size_t>(std::max<std::int64_t>(0, passed.count()));
    if (index >= m_seconds.size())
        m_seconds.resize(index + 1);
    return m_seconds[index];
}

void Measurements::count(const std::string &event)
{
    ++currentSecond()[event];
}

void Measurements::submitted(const std::string &id, std::size_t kind)
{
    m_jobs[id] = { kind, m_timers.now(), false, false };
    ++m_kinds.at(kind).outcomes["submitted"];
    count("submitted");
}

void Measurements::accepted(const std::string &id)
{
    auto &job = m_jobs[id];
    if (std::exchange(job.accepted, true))
        return;
    ++m_accepted;
    ++m_kinds.at(job.kind).outcomes["accepted"];
    count("accepted");
    if (!job.started && m_waiting++ == 0)
        m_lastStart = m_timers.now();
}

void Measurements::refused(const std::string &id)
{
    ++m_kinds.at(m_jobs[id].kind).outcomes["refused"];
    count("refused");
}

void Measurements::unknown(const std::string &id)
{
    ++m_kinds.at(m_jobs[id].kind).outcomes["unknown"];
    count("unknown");
}

void Measurements::ended(const std::string &id, JobStatus status)
{
    auto &job = m_jobs[id];
    auto &kind = m_kinds.at(job.kind);
    ++kind.outcomes[toString(status)];
    count(toString(status));
    if (status == JobStatus::Completed)
        kind.totalMs.push_back(inMilliseconds(m_timers.now() - job.submitted));
    // A job may end without a task start, for example when it is cancelled; it no longer waits for
    // one.
    if (job.accepted && !std::exchange(job.started, true) && m_waiting > 0)
        --m_waiting;
}

void Measurements::setStoreCalls(std::uint64_t total)
{
    currentSecond()["storeCalls"] += total - m_storeCalls;
    m_storeCalls = total;
}

void Measurements::recordStart()
{
    const auto now = m_timers.now();
    if (m_waiting > 0)
        m_longestGap = std::max(m_longestGap, now - m_lastStart);
    m_lastStart = now;
}

void Measurements::started(const std::string &worker, const TaskId &task, std::uint32_t run,
                           const Resources &heldBefore, const Resources &capacity)
{
    m_guarantees.started(worker, task, run, heldBefore, capacity);
    ++m_started;
    count("starts");
    recordStart();
    auto &job = m_jobs[task.job];
    if (std::exchange(job.started, true))
        return;
    m_kinds.at(job.kind).waitMs.push_back(inMilliseconds(m_timers.now() - job.submitted));
    if (job.accepted && m_waiting > 0)
        --m_waiting;
}

void Measurements::ended(const std::string &worker, const FinishedTask &end)
{
    m_guarantees.ended(worker, end);
    count("ends");
}

void Measurements::acknowledged(const std::string &worker, const FinishedTask &end)
{
    m_guarantees.acknowledged(worker, end);
}

void Measurements::capacityChanged(const std::string &worker, const Resources &former)
{
    m_guarantees.capacityChanged(worker, former);
}

void Measurements::crashed(const std::string &worker)
{
    m_guarantees.crashed(worker);
}

nlohmann::json Measurements::kindsReport() const
{
    nlohmann::json report = nlohmann::json::object();
    for (std::size_t index = 0; index < m_kinds.size(); ++index) {
        const auto &kind = m_kinds[index];
        report[m_plan.kinds[index].name] = { { "outcomes", kind.outcomes },
                                             { "waitMsMedian", quantile(kind.waitMs, 0.5) },
                                             { "waitMs99", quantile(kind.waitMs, 0.99) },
                                             { "totalMsMedian", quantile(kind.totalMs, 0.5) },
                                             { "totalMs99", quantile(kind.totalMs, 0.99) },
                                             { "waitMs", kind.waitMs } };
    }
    return report;
}

nlohmann::json Measurements::secondsReport() const
{
    return m_seconds;
}

} // namespace cowsliprock::experiment
