#include "scheduler.h"

#include <algorithm>
#include <limits>
#include <string>
#include <unordered_map>

namespace cowsliprock::cell {

namespace {

/// Maximum number of concurrent runs of a task of the step.
std::uint32_t maxRunsPerTask(const StepSpec &spec) noexcept
{
    constexpr std::uint32_t withCopy = 2;
    return spec.speculative ? withCopy : 1;
}

/// Upper bound of what runs of the job that an earlier owner has started hold unseen.
Resources unseenRunsOf(const Job &job)
{
    Resources sum;
    // The tasks of an ended job are no longer known, but some may still be running.
    for (std::uint32_t index = 0; !job.active() && index < job.record.spec.steps.size(); ++index) {
        const auto &spec = job.spec(index);
        sum += heldBy(spec)
            * (std::int64_t{ spec.count } * maxRunsPerTask(spec) * job.occurrenceCount());
    }
    if (!job.active())
        return sum;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
            const auto &spec = job.spec(index);
            std::int64_t runs = 0;
            for (const auto &task : occurrence.steps[index].tasks) {
                const auto known = task.liveRuns + task.strayRuns;
                const bool unseen = !task.reconciled && known < maxRunsPerTask(spec)
                    && (task.phase != TaskPhase::Done || spec.speculative);
                runs += unseen ? maxRunsPerTask(spec) - known : 0;
            }
            sum += heldBy(spec) * runs;
        }
    }
    return sum;
}

Resources greatestOf(const Resources &left, const Resources &right) noexcept
{
    return { std::max(left.cpuMillis, right.cpuMillis), std::max(left.memoryMb, right.memoryMb),
             std::max(left.accelerators, right.accelerators) };
}

} // namespace

std::uint32_t Scheduler::quotaSlots(const StepView &view) const
{
    const auto &customer = view.job->record.customer;
    if (customer.empty())
        return std::numeric_limits<std::uint32_t>::max();
    return m_quotas.availableSlots(customer, heldBy(*view.spec));
}

bool Scheduler::reachesQuota(const StepView &view) const
{
    if (!view.spec->gang)
        return quotaSlots(view) == 0;
    // A gang can start only after its previous run has ended on all workers.
    return view.startableTasks(now()) == view.spec->count && quotaSlots(view) < view.spec->count;
}

void Scheduler::reserveQuotaForGang(const StepView &view)
{
    const auto each = heldBy(*view.spec);
    const auto &customer = view.job->record.customer;
    // Lasting tasks, or a reduction of the quota, may keep the gang from ever fitting.
    if (m_quotas.fitsBesideLasting(customer, each, view.spec->count))
        m_quotas.reserve(customer, each * view.spec->count);
}

Resources Scheduler::unreportedCapacity() const
{
    Resources largest;
    for (const auto &[id, worker] : m_workers)
        largest = greatestOf(largest, worker.entry.capacity);
    Resources sum;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.usedByPreviousOwner || worker.reconciled)
            continue;
        // The roster does not name the capacity of workers that discovery has lost.
        sum += worker.entry.capacity == Resources() ? largest : worker.entry.capacity;
    }
    return sum;
}

void Scheduler::updateUnreportedUsage()
{
    std::unordered_map<std::string, Resources> bounds;
    if (m_recovering) {
        for (const auto &[id, job] : m_jobs.all()) {
            if (job->mayHaveRunsOfEarlierOwner && !job->record.customer.empty())
                bounds[job->record.customer] += unseenRunsOf(*job);
        }
    }
    if (!bounds.empty()) {
        const auto capacity = unreportedCapacity();
        for (auto &[customer, bound] : bounds)
            bound = leastOf(bound, capacity);
    }
    m_quotas.setUnreported(bounds);
}

} // namespace cowsliprock::cell
