#include "scheduler.h"

#include <algorithm>

namespace cowsliprock::cell {

int Scheduler::StepView::serviceClass() const noexcept
{
    constexpr int lastClass = static_cast<int>(classCount) - 1;
    if (band == bandExpired)
        return lastClass;
    return job->excess ? bandExpired + band : band;
}

void Scheduler::classify(Job &job)
{
    if (job.record.customer.empty())
        return;
    job.customer = m_shares.indexOf(job.record.customer, now());
    // An earlier owner has already served a job with stored progress.
    job.excess = m_shares.active() && !job.startRecorded && !m_shares.admit(job.customer, now());
}

void Scheduler::updateExcessDelays(const std::vector<StepView> &waiting)
{
    m_excessDelays.assign(m_shares.active() ? m_shares.size() : 0, Duration::zero());
    if (m_excessDelays.empty())
        return;
    const auto current = now();
    for (const auto &view : waiting) {
        if (!view.job->excess || view.job->everStarted || view.band == bandExpired)
            continue;
        auto &delay = m_excessDelays[view.job->customer];
        delay = std::max<Duration>(delay, current - view.occurrence->startedAt);
    }
}

std::optional<Duration> Scheduler::excessDelay(const std::string &id) const
{
    const Job *job = m_jobs.find(id);
    if (job == nullptr || !job->excess || job->customer >= m_excessDelays.size()
        || m_excessDelays[job->customer] == Duration::zero())
        return std::nullopt;
    return m_excessDelays[job->customer];
}

Scheduler::StepOrder::StepOrder(const Scheduler &scheduler, std::vector<StepView> &views)
    : m_scheduler(scheduler)
    , m_views(views)
{
    if (scheduler.m_shares.active())
        m_shares.resize(scheduler.m_shares.size());
}

const Scheduler::StepView *Scheduler::StepOrder::next()
{
    if (m_shares.empty())
        return m_position == m_views.size() ? nullptr : &m_views[m_position++];
    if (!m_order.next())
        beginGroup();
    const auto position = m_order.next();
    if (!position)
        return nullptr;
    StepView &view = m_views[*position];
    view.share = shareOf(view);
    m_order.served(m_scheduler.m_shares.weightedShare(view.job->customer,
                                                      heldBy(*view.spec) * view.startableCount,
                                                      m_scheduler.m_usableCapacity));
    return &view;
}

double Scheduler::StepOrder::shareOf(const StepView &view)
{
    auto &share = m_shares[view.job->customer];
    if (!share) {
        share = m_scheduler.m_shares.weightedShare(
            view.job->customer, m_scheduler.m_quotas.inUse(view.job->record.customer),
            m_scheduler.m_usableCapacity);
    }
    return *share;
}

void Scheduler::StepOrder::beginGroup()
{
    m_order = {};
    if (m_position == m_views.size())
        return;
    const auto rank = m_views[m_position].rank();
    const auto sameGroup = [&rank](const StepView &view) { return view.rank() == rank; };
    for (; m_position < m_views.size() && sameGroup(m_views[m_position]); ++m_position) {
        const auto &view = m_views[m_position];
        m_order.add(m_position, view.job->customer, shareOf(view));
    }
}

} // namespace cowsliprock::cell
