#include <experiment/experiment.h>

#include "faultinjector.h"

#include <experiment/callers.h>
#include <experiment/jobgenerator.h>
#include <experiment/measurements.h>

#include <standincell/guaranteechecker.h>

#include <eventloop/eventloop.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cowsliprock::experiment {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time for the daemons to discover each other before the first job is submitted.
constexpr seconds startupTime{ 3 };
/// Time for all daemons to exit; longer than graceTime.
constexpr seconds shutdownTime{ 7 };
constexpr milliseconds sampleInterval{ 500 };

std::uint64_t sum(const std::map<std::string, std::uint64_t> &counts)
{
    std::uint64_t result = 0;
    for (const auto &[name, count] : counts)
        result += count;
    return result;
}

/// One run of an experiment, with all objects it needs.
class ExperimentRun
{
public:
    ExperimentRun(const Plan &plan, const Cell::Paths &paths)
        : m_plan(plan)
        , m_guarantees(m_loop)
        , m_measurements(m_plan, m_loop, m_guarantees)
        , m_jobs(m_plan, m_plan.seed)
        , m_cell(m_loop, m_plan, paths,
                 { [this](const cell::TaskId &task) { return m_jobs.taskPlan(task); },
                   [this](const std::string &step) { return m_jobs.adviceTime(step); } },
                 m_measurements)
        , m_callers(m_loop, m_plan, m_cell, m_jobs, m_guarantees, m_measurements)
        , m_faultInjector(m_loop, m_plan, m_cell)
    { }

    Result<Outcome> run()
    {
        BOOST_OUTCOME_TRYV(m_cell.start());
        m_loop.after(startupTime, [this] { begin(); });
        m_loop.run();
        return Outcome{ violations(), m_measurements.jobsAccepted(), m_measurements.tasksStarted(),
                        report().dump(1) + "\n" };
    }

private:
    void begin()
    {
        m_measurements.begin();
        m_callers.start();
        m_faultInjector.start();
        sample();
        m_loop.after(m_plan.length + m_plan.settle, [this] {
            m_unfinished = m_guarantees.unfinishedJobs();
            m_cell.stopDaemons();
            m_loop.after(shutdownTime, [this] { m_loop.stop(); });
        });
    }

    void sample()
    {
        m_measurements.setStoreCalls(sum(m_cell.storeCalls()));
        m_loop.after(sampleInterval, [this] { sample(); });
    }

    [[nodiscard]] std::vector<std::string> violations() const
    {
        auto lines = m_guarantees.broken();
        const auto &exits = m_cell.unexpectedExits();
        lines.insert(lines.end(), exits.begin(), exits.end());
        if (m_unfinished > 0)
            lines.push_back("FINISH " + std::to_string(m_unfinished)
                            + " accepted jobs did not end");
        return lines;
    }

    [[nodiscard]] nlohmann::json costs() const
    {
        const auto usage = m_cell.usage();
        const auto jobs =
            static_cast<double>(std::max<std::uint64_t>(1, m_measurements.jobsAccepted()));
        const auto tasks =
            static_cast<double>(std::max<std::uint64_t>(1, m_measurements.tasksStarted()));
        const auto perTask = [tasks](std::uint64_t count) {
            return static_cast<double>(count) / tasks;
        };
        const auto processorMs = std::chrono::duration<double, std::milli>(usage.cpuTime).count();
        return { { "jobs", m_measurements.jobsAccepted() },
                 { "tasks", m_measurements.tasksStarted() },
                 { "processorMs", processorMs },
                 { "processorMsPerTask", processorMs / tasks },
                 { "wakeUpsPerTask", perTask(usage.wakeUps) },
                 { "peakMemoryKb", usage.peakMemoryKb },
                 { "storeCalls", m_cell.storeCalls() },
                 { "storeCallsPerJob", static_cast<double>(sum(m_cell.storeCalls())) / jobs },
                 { "storeBytesPerJob", static_cast<double>(m_cell.storeBytes()) / jobs },
                 { "workerCalls", m_cell.workerCalls() },
                 { "workerCallsPerTask", perTask(sum(m_cell.workerCalls())) },
                 { "workerBytesPerTask", perTask(m_cell.workerBytes()) },
                 { "workerConnectionsPerTask", perTask(m_cell.workerConnections()) },
                 { "adviceCallsPerJob", static_cast<double>(m_cell.adviceCalls()) / jobs } };
    }

    [[nodiscard]] nlohmann::json report() const
    {
        return { { "plan", nlohmann::json::parse(formatPlan(m_plan)) },
                 { "broken", violations() },
                 { "kinds", m_measurements.kindsReport() },
                 { "seconds", m_measurements.secondsReport() },
                 { "longestGapMs",
                   std::chrono::duration_cast<milliseconds>(m_measurements.longestGap()).count() },
                 { "costs", costs() } };
    }

    EventLoop m_loop;
    Plan m_plan;
    standincell::GuaranteeChecker m_guarantees;
    Measurements m_measurements;
    JobGenerator m_jobs;
    Cell m_cell;
    Callers m_callers;
    FaultInjector m_faultInjector;
    std::size_t m_unfinished = 0;
};

} // namespace

Result<Outcome> runExperiment(const Plan &plan, const Cell::Paths &paths)
{
    return ExperimentRun(plan, paths).run();
}

} // namespace cowsliprock::experiment
