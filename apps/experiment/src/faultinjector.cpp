#include "faultinjector.h"

#include <eventloop/eventloop.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <utility>

namespace cowsliprock::experiment {

using standincell::StoreFault;
using standincell::WorkerFault;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds slowStoreDelay{ 350 };
constexpr milliseconds slowLinkDelay{ 80 };

} // namespace

void FaultInjector::start()
{
    for (const auto &fault : m_plan.faults)
        m_loop.after(fault.at, [this, &fault] { inject(fault); });
}

std::uint32_t FaultInjector::ownerOr(std::uint32_t daemon) const
{
    return m_cell.owner().value_or(daemon);
}

void FaultInjector::scheduleRecovery(const Fault &fault, std::function<void()> recover)
{
    m_loop.after(fault.duration, std::move(recover));
}

void FaultInjector::inject(const Fault &fault)
{
    const auto daemon = fault.target % m_cell.daemons();
    const auto worker = fault.target % m_cell.workers();
    switch (fault.kind) {
    case FaultKind::DaemonKilled:
    case FaultKind::DaemonPaused:
    case FaultKind::DaemonStopped:
    case FaultKind::SettingsReload:
    case FaultKind::AllDaemonsKilled:
        injectDaemonFault(fault, daemon);
        return;
    case FaultKind::OwnerKilled:
    case FaultKind::OwnerPaused:
    case FaultKind::OwnerStopped:
        injectDaemonFault(fault, ownerOr(daemon));
        return;
    case FaultKind::StoreCutForOwner:
        injectStoreFault(fault, ownerOr(daemon));
        return;
    case FaultKind::StoreRefuses:
    case FaultKind::StoreSilent:
    case FaultKind::StoreCutForOne:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreWritesLate:
    case FaultKind::StoreForgets:
        injectStoreFault(fault, daemon);
        return;
    case FaultKind::WorkerCrashed:
    case FaultKind::WorkerSilent:
    case FaultKind::WorkerOrdersLate:
    case FaultKind::WorkerLosesAnswers:
    case FaultKind::WorkerRefuses:
    case FaultKind::WorkerLeaves:
        injectWorkerFault(fault, worker);
        return;
    case FaultKind::ConfigurationChanged:
        m_cell.changeConfiguration();
        return;
    case FaultKind::LinksReset:
    case FaultKind::LinksSilenced:
    case FaultKind::LinksDelayed:
    case FaultKind::LinkCutOneWay:
        injectLinkFault(fault, daemon);
        return;
    case FaultKind::OwnerPartitioned:
    case FaultKind::GroupPartitioned:
        injectPartition(fault, daemon);
        return;
    }
}

void FaultInjector::injectPartition(const Fault &fault, std::uint32_t daemon)
{
    Cell::Group group;
    for (std::uint32_t worker = 0; worker < m_cell.workers(); ++worker) {
        if ((worker + fault.target) % 2 == 0)
            group.workers.insert(worker);
    }
    if (fault.kind == FaultKind::OwnerPartitioned) {
        group.daemons.insert(ownerOr(daemon));
    } else {
        // One daemon up to all but one.
        const auto size = 1 + fault.target / m_cell.daemons() % std::max(1U, m_cell.daemons() - 1);
        for (std::uint32_t offset = 0; offset < size; ++offset)
            group.daemons.insert((daemon + offset) % m_cell.daemons());
    }
    m_cell.partition(group, fault.duration);
}

void FaultInjector::injectDaemonFault(const Fault &fault, std::uint32_t daemon)
{
    switch (fault.kind) {
    case FaultKind::DaemonPaused:
    case FaultKind::OwnerPaused:
        pauseDaemon(daemon, fault.duration);
        return;
    case FaultKind::DaemonStopped:
    case FaultKind::OwnerStopped:
        m_cell.signal(daemon, SIGTERM);
        return;
    case FaultKind::SettingsReload:
        m_cell.signal(daemon, SIGHUP);
        return;
    case FaultKind::AllDaemonsKilled:
        for (std::uint32_t number = 0; number < m_cell.daemons(); ++number)
            m_cell.signal(number, SIGKILL);
        return;
    default:
        m_cell.signal(daemon, SIGKILL);
        return;
    }
}

void FaultInjector::pauseDaemon(std::uint32_t daemon, Duration duration)
{
    m_cell.signal(daemon, SIGSTOP);
    m_loop.after(duration, [this, daemon] { m_cell.signal(daemon, SIGCONT); });
}

void FaultInjector::injectStoreFault(const Fault &fault, std::uint32_t daemon)
{
    const auto setFault = [this, &fault](std::optional<std::uint32_t> affectedDaemon,
                                         StoreFault storeFault) {
        m_cell.setStoreFault(affectedDaemon, storeFault);
        scheduleRecovery(fault, [this, affectedDaemon] {
            m_cell.setStoreFault(affectedDaemon, StoreFault::None);
        });
    };
    const auto outage = [this, &fault, &setFault](StoreFault storeFault) {
        setFault(std::nullopt, storeFault);
        // Leases stand still in some outages and run on in others.
        m_cell.pauseStoreLeases(fault.target % 2 == 0);
        scheduleRecovery(fault, [this] { m_cell.pauseStoreLeases(false); });
    };
    switch (fault.kind) {
    case FaultKind::StoreRefuses:
        outage(StoreFault::Refuse);
        return;
    case FaultKind::StoreSilent:
        outage(StoreFault::Silent);
        return;
    case FaultKind::StoreLosesAnswers:
        setFault(daemon, StoreFault::LoseReply);
        return;
    case FaultKind::StoreWritesLate:
        setFault(daemon, StoreFault::ApplyLate);
        return;
    case FaultKind::StoreSlow:
        m_cell.setStoreDelay(slowStoreDelay);
        scheduleRecovery(fault, [this] { m_cell.setStoreDelay(m_plan.storeDelay); });
        return;
    case FaultKind::StoreForgets:
        m_cell.compactStore();
        return;
    default:
        setFault(daemon, fault.target % 2 == 0 ? StoreFault::Refuse : StoreFault::Silent);
        return;
    }
}

void FaultInjector::injectWorkerFault(const Fault &fault, std::uint32_t worker)
{
    const auto setFault = [this, &fault, worker](WorkerFault workerFault) {
        m_cell.setWorkerFault(worker, workerFault);
        scheduleRecovery(fault,
                         [this, worker] { m_cell.setWorkerFault(worker, WorkerFault::Healthy); });
    };
    switch (fault.kind) {
    case FaultKind::WorkerSilent:
        setFault(WorkerFault::Silent);
        return;
    case FaultKind::WorkerOrdersLate:
        setFault(WorkerFault::Late);
        return;
    case FaultKind::WorkerLosesAnswers:
        setFault(WorkerFault::LoseAnswer);
        return;
    case FaultKind::WorkerRefuses:
        setFault(WorkerFault::Refuse);
        return;
    case FaultKind::WorkerLeaves:
        m_cell.setWorkerDraining(worker, true);
        scheduleRecovery(fault, [this, worker] {
            m_cell.crashWorker(worker);
            m_cell.setWorkerDraining(worker, false);
        });
        return;
    default:
        m_cell.crashWorker(worker);
        return;
    }
}

void FaultInjector::injectLinkFault(const Fault &fault, std::uint32_t daemon)
{
    switch (fault.kind) {
    case FaultKind::LinksReset:
        m_cell.resetLinks();
        return;
    case FaultKind::LinksSilenced:
        m_cell.silenceLinks();
        return;
    case FaultKind::LinksDelayed:
        m_cell.delayLinks(slowLinkDelay);
        scheduleRecovery(fault, [this] { m_cell.delayLinks(Duration::zero()); });
        return;
    default: {
        const auto direction = fault.target % 2 == 0 ? Direction::ToServer : Direction::ToClient;
        m_cell.cutStoreLink(daemon, direction, true);
        scheduleRecovery(
            fault, [this, daemon, direction] { m_cell.cutStoreLink(daemon, direction, false); });
        return;
    }
    }
}

} // namespace cowsliprock::experiment
