#include <experiment/experiment.h>

#include "troubles.h"

#include <experiment/callers.h>
#include <experiment/jobbook.h>
#include <experiment/measurements.h>

#include <standincell/guaranteechecker.h>

#include <eventloop/eventloop.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cowsliprock::experiment {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time in which the daemons find each other before the first job.
constexpr seconds startTime{ 3 };
/// Time for an orderly end of all daemons.
constexpr seconds endTime{ 7 };
constexpr milliseconds sampleInterval{ 500 };

std::uint64_t sum(const std::map<std::string, std::uint64_t> &counts)
{
    std::uint64_t result = 0;
    for (const auto &[name, count] : counts)
        result += count;
    return result;
}

/// Everything that one play needs.
class Play
{
public:
    Play(const Plan &plan, const Cell::Paths &paths)
        : m_plan(plan)
        , m_guarantees(m_loop)
        , m_measurements(m_plan, m_loop, m_guarantees)
        , m_book(m_plan, m_plan.seed)
        , m_cell(m_loop, m_plan, paths,
                 { [this](const cell::TaskId &task) { return m_book.plan(task); },
                   [this](const std::string &step) { return m_book.adviceTime(step); } },
                 m_measurements)
        , m_callers(m_loop, m_plan, m_cell, m_book, m_guarantees, m_measurements)
        , m_troubles(m_loop, m_plan, m_cell)
    { }

    Result<Outcome> run()
    {
        BOOST_OUTCOME_TRYV(m_cell.start());
        m_loop.after(startTime, [this] { begin(); });
        m_loop.run();
        return Outcome{ broken(), m_measurements.jobsAccepted(), m_measurements.tasksStarted(),
                        report().dump(1) + "\n" };
    }

private:
    void begin()
    {
        m_measurements.begin();
        m_callers.start();
        m_troubles.start();
        sample();
        m_loop.after(m_plan.length + m_plan.settle, [this] {
            m_unfinished = m_guarantees.unfinishedJobs();
            m_cell.stopAll();
            m_loop.after(endTime, [this] { m_loop.stop(); });
        });
    }

    void sample()
    {
        m_measurements.storeCalls(sum(m_cell.storeCalls()));
        m_loop.after(sampleInterval, [this] { sample(); });
    }

    [[nodiscard]] std::vector<std::string> broken() const
    {
        auto lines = m_guarantees.broken();
        const auto &ends = m_cell.unexpectedEnds();
        lines.insert(lines.end(), ends.begin(), ends.end());
        if (m_unfinished > 0)
            lines.push_back("FINISH " + std::to_string(m_unfinished) + " accepted jobs");
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
        const auto processorMs = std::chrono::duration<double, std::milli>(usage.processor).count();
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
                 { "broken", broken() },
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
    JobBook m_book;
    Cell m_cell;
    Callers m_callers;
    Troubles m_troubles;
    std::size_t m_unfinished = 0;
};

} // namespace

Result<Outcome> play(const Plan &plan, const Cell::Paths &paths)
{
    return Play(plan, paths).run();
}

} // namespace cowsliprock::experiment
