#pragma once

#include <experiment/cell.h>
#include <experiment/plan.h>

namespace cowsliprock {
class EventLoop;
}

namespace cowsliprock::experiment {

/// Injects the faults of a plan at their scheduled times. Faults may overlap.
class FaultInjector
{
public:
    FaultInjector(EventLoop &loop, const Plan &plan, Cell &cell) noexcept
        : m_loop(loop)
        , m_plan(plan)
        , m_cell(cell)
    { }

    /// Schedules all faults of the plan, relative to the time of this call.
    void start();

private:
    void inject(const Fault &fault);
    void injectDaemonFault(const Fault &fault, std::uint32_t daemon);
    void injectStoreFault(const Fault &fault, std::uint32_t daemon);
    void injectWorkerFault(const Fault &fault, std::uint32_t worker);
    void injectLinkFault(const Fault &fault, std::uint32_t daemon);
    void injectPartition(const Fault &fault, std::uint32_t daemon);
    void pauseDaemon(std::uint32_t daemon, Duration duration);
    /// Calls \p recover after the duration of \p fault.
    void scheduleRecovery(const Fault &fault, std::function<void()> recover);
    /// The scheduling owner, or \p daemon if there is none.
    [[nodiscard]] std::uint32_t ownerOr(std::uint32_t daemon) const;

    EventLoop &m_loop;
    const Plan &m_plan;
    Cell &m_cell;
};

} // namespace cowsliprock::experiment
