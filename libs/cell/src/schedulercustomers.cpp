#include "scheduler.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cowsliprock::cell {

namespace {

/// Bounds the log lines that a second adds; all customers have metrics.
constexpr std::size_t maxLoggedCustomers = 50;

/// Waiting tasks of one customer.
struct WaitingTasks
{
    std::uint64_t all = 0;
    std::uint64_t excess = 0; ///< Above the guaranteed rate.
    std::uint64_t atQuota = 0;
};

} // namespace

void Scheduler::logCustomers(const std::vector<StepView> &waiting) const
{
    if (!m_shares.active())
        return;
    std::vector<WaitingTasks> tasks(m_shares.size());
    for (const auto &view : waiting) {
        auto &sum = tasks[view.job->customer];
        sum.all += view.startableCount;
        sum.excess += view.job->excess ? view.startableCount : 0;
        sum.atQuota += reachesQuota(view) ? view.startableCount : 0;
    }
    std::size_t logged = 0;
    for (std::size_t customer = 1; customer < tasks.size(); ++customer) {
        const auto &name = m_shares.nameOf(customer);
        const auto used = m_quotas.inUse(name);
        const auto quota = m_quotas.quotaOf(name);
        const auto share = m_shares.weightedShare(customer, used, m_usableCapacity);
        const auto excessDelay =
            customer < m_excessDelays.size() ? m_excessDelays[customer] : Duration::zero();
        const auto set = [this, prefix = "customers." + name](const char *metric, auto value) {
            m_ports.metrics.set(prefix + metric, static_cast<double>(value));
        };
        set(".cpuMillis", used.cpuMillis);
        set(".quotaCpuMillis", quota.cpuMillis);
        set(".memoryMb", used.memoryMb);
        set(".quotaMemoryMb", quota.memoryMb);
        set(".share", share);
        set(".waitingTasks", tasks[customer].all);
        set(".excessTasks", tasks[customer].excess);
        const bool idle = used == Resources() && tasks[customer].all == 0;
        if (idle || ++logged > maxLoggedCustomers)
            continue;
        m_ports.log.writeRoutine(now(), "customer.load",
                                 { { "customer", name },
                                   { "cpuMillis", used.cpuMillis },
                                   { "quotaCpuMillis", quota.cpuMillis },
                                   { "memoryMb", used.memoryMb },
                                   { "quotaMemoryMb", quota.memoryMb },
                                   { "accelerators", used.accelerators },
                                   { "weight", m_shares.weightOf(customer) },
                                   { "share", share },
                                   { "waitingTasks", tasks[customer].all },
                                   { "excessTasks", tasks[customer].excess },
                                   { "tasksAtQuota", tasks[customer].atQuota },
                                   { "excessDelayMs", toMilliseconds(excessDelay) } });
    }
}

} // namespace cowsliprock::cell
