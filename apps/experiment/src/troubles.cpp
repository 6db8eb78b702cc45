#include "troubles.h"

#include <eventloop/eventloop.h>

#include <csignal>
#include <functional>
#include <utility>

namespace cowsliprock::experiment {

using standincell::StoreFault;
using standincell::WorkerFault;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds slowStore{ 350 };
constexpr milliseconds slowLink{ 80 };

} // namespace

void Troubles::start()
{
    for (const auto &trouble : m_plan.troubles)
        m_loop.after(trouble.at, [this, &trouble] { begin(trouble); });
}

std::uint32_t Troubles::ownerOr(std::uint32_t daemon) const
{
    return m_cell.owner().value_or(daemon);
}

void Troubles::later(const Trouble &trouble, std::function<void()> end)
{
    m_loop.after(trouble.time, std::move(end));
}

void Troubles::begin(const Trouble &trouble)
{
    const auto daemon = trouble.target % m_cell.daemons();
    const auto worker = trouble.target % m_cell.workers();
    switch (trouble.kind) {
    case TroubleKind::DaemonKilled:
    case TroubleKind::DaemonPaused:
    case TroubleKind::DaemonStopped:
    case TroubleKind::SettingsReload:
    case TroubleKind::AllDaemonsKilled:
        beginForDaemon(trouble, daemon);
        return;
    case TroubleKind::OwnerKilled:
    case TroubleKind::OwnerPaused:
    case TroubleKind::OwnerStopped:
        beginForDaemon(trouble, ownerOr(daemon));
        return;
    case TroubleKind::StoreCutForOwner:
        beginForStore(trouble, ownerOr(daemon));
        return;
    case TroubleKind::StoreRefuses:
    case TroubleKind::StoreSilent:
    case TroubleKind::StoreCutForOne:
    case TroubleKind::StoreSlow:
    case TroubleKind::StoreLosesAnswers:
    case TroubleKind::StoreWritesLate:
    case TroubleKind::StoreForgets:
        beginForStore(trouble, daemon);
        return;
    case TroubleKind::WorkerCrashed:
    case TroubleKind::WorkerSilent:
    case TroubleKind::WorkerOrdersLate:
    case TroubleKind::WorkerLosesAnswers:
    case TroubleKind::WorkerRefuses:
    case TroubleKind::WorkerLeaves:
        beginForWorker(trouble, worker);
        return;
    case TroubleKind::ConfigurationChanged:
        m_cell.changeConfiguration();
        return;
    case TroubleKind::LinksReset:
    case TroubleKind::LinksSilenced:
    case TroubleKind::LinksDelayed:
    case TroubleKind::LinkCutOneWay:
        beginForLinks(trouble, daemon);
        return;
    }
}

void Troubles::beginForDaemon(const Trouble &trouble, std::uint32_t daemon)
{
    switch (trouble.kind) {
    case TroubleKind::DaemonPaused:
    case TroubleKind::OwnerPaused:
        pause(daemon, trouble.time);
        return;
    case TroubleKind::DaemonStopped:
    case TroubleKind::OwnerStopped:
        m_cell.signal(daemon, SIGTERM);
        return;
    case TroubleKind::SettingsReload:
        m_cell.signal(daemon, SIGHUP);
        return;
    case TroubleKind::AllDaemonsKilled:
        for (std::uint32_t number = 0; number < m_cell.daemons(); ++number)
            m_cell.signal(number, SIGKILL);
        return;
    default:
        m_cell.signal(daemon, SIGKILL);
        return;
    }
}

void Troubles::pause(std::uint32_t daemon, Duration time)
{
    m_cell.signal(daemon, SIGSTOP);
    m_loop.after(time, [this, daemon] { m_cell.signal(daemon, SIGCONT); });
}

void Troubles::beginForStore(const Trouble &trouble, std::uint32_t daemon)
{
    const auto setFault = [this, &trouble](std::optional<std::uint32_t> whom, StoreFault fault) {
        m_cell.disturbStore(whom, fault);
        later(trouble, [this, whom] { m_cell.disturbStore(whom, StoreFault::None); });
    };
    const auto outage = [this, &trouble, &setFault](StoreFault fault) {
        setFault(std::nullopt, fault);
        // Leases stand still in some outages and run on in others.
        m_cell.pauseStoreLeases(trouble.target % 2 == 0);
        later(trouble, [this] { m_cell.pauseStoreLeases(false); });
    };
    switch (trouble.kind) {
    case TroubleKind::StoreRefuses:
        outage(StoreFault::Refuse);
        return;
    case TroubleKind::StoreSilent:
        outage(StoreFault::Silent);
        return;
    case TroubleKind::StoreLosesAnswers:
        setFault(daemon, StoreFault::LoseReply);
        return;
    case TroubleKind::StoreWritesLate:
        setFault(daemon, StoreFault::ApplyLate);
        return;
    case TroubleKind::StoreSlow:
        m_cell.storeDelay(slowStore);
        later(trouble, [this] { m_cell.storeDelay(m_plan.storeDelay); });
        return;
    case TroubleKind::StoreForgets:
        m_cell.compactStore();
        return;
    default:
        setFault(daemon, trouble.target % 2 == 0 ? StoreFault::Refuse : StoreFault::Silent);
        return;
    }
}

void Troubles::beginForWorker(const Trouble &trouble, std::uint32_t worker)
{
    const auto setFault = [this, &trouble, worker](WorkerFault fault) {
        m_cell.workerBehaves(worker, fault);
        later(trouble, [this, worker] { m_cell.workerBehaves(worker, WorkerFault::Healthy); });
    };
    switch (trouble.kind) {
    case TroubleKind::WorkerSilent:
        setFault(WorkerFault::Silent);
        return;
    case TroubleKind::WorkerOrdersLate:
        setFault(WorkerFault::Late);
        return;
    case TroubleKind::WorkerLosesAnswers:
        setFault(WorkerFault::LoseAnswer);
        return;
    case TroubleKind::WorkerRefuses:
        setFault(WorkerFault::Refuse);
        return;
    case TroubleKind::WorkerLeaves:
        m_cell.drain(worker, true);
        later(trouble, [this, worker] {
            m_cell.crash(worker);
            m_cell.drain(worker, false);
        });
        return;
    default:
        m_cell.crash(worker);
        return;
    }
}

void Troubles::beginForLinks(const Trouble &trouble, std::uint32_t daemon)
{
    switch (trouble.kind) {
    case TroubleKind::LinksReset:
        m_cell.resetLinks();
        return;
    case TroubleKind::LinksSilenced:
        m_cell.silenceLinks();
        return;
    case TroubleKind::LinksDelayed:
        m_cell.delayLinks(slowLink);
        later(trouble, [this] { m_cell.delayLinks(Duration::zero()); });
        return;
    default: {
        const auto direction = trouble.target % 2 == 0 ? Direction::ToServer : Direction::ToClient;
        m_cell.cutStoreLink(daemon, direction, true);
        later(trouble,
              [this, daemon, direction] { m_cell.cutStoreLink(daemon, direction, false); });
        return;
    }
    }
}

} // namespace cowsliprock::experiment
