#include "cellparts.h"

#include <eventloop/eventloop.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::experiment {

void Cell::partition(const Group &group, Duration duration)
{
    if (m_isolated)
        return;
    m_isolated = group;
    m_socketOwners = findSocketOwners();
    for (std::uint32_t number = 0; number < m_daemons.size(); ++number) {
        auto &daemon = *m_daemons[number];
        const bool isolated = group.daemons.contains(number);
        holdAcrossPartition(*daemon.peerProxy, isolated);
        if (isolated)
            daemon.storeProxy->holdConnections([](const auto &, const auto &) { return true; });
    }
    for (std::uint32_t number = 0; number < m_workers.size(); ++number) {
        auto &worker = *m_workers[number];
        worker.isolated = group.workers.contains(number);
        holdAcrossPartition(*worker.proxy, worker.isolated);
        if (worker.isolated)
            expireDiscovery(worker);
    }
    // Connections that are opened later are not in the snapshot.
    m_socketOwners = {};
    m_loop.after(duration, [this] { healPartition(); });
}

void Cell::holdAcrossPartition(FaultProxy &proxy, bool isolated)
{
    proxy.holdConnections(
        [this, isolated](const SocketAddress &client, const SocketAddress &address) {
            return isIsolatedClient(client, address).value_or(isolated) != isolated;
        });
}

std::optional<bool> Cell::isIsolatedClient(const SocketAddress &client,
                                           const SocketAddress &proxy) const
{
    auto process = m_socketOwners.find(client, proxy);
    if (!process)
        process = findSocketOwners().find(client, proxy);
    if (!process)
        return std::nullopt;
    const auto daemon =
        std::find_if(m_daemons.begin(), m_daemons.end(), [&process](const auto &candidate) {
            return candidate->process->id() == *process;
        });
    return m_isolated->daemons.contains(static_cast<std::uint32_t>(daemon - m_daemons.begin()));
}

SocketOwners Cell::findSocketOwners() const
{
    std::vector<pid_t> processes;
    for (const auto &daemon : m_daemons) {
        if (daemon->process->isRunning())
            processes.push_back(daemon->process->id());
    }
    return SocketOwners(processes);
}

void Cell::healPartition()
{
    m_isolated.reset();
    for (const auto &daemon : m_daemons) {
        daemon->peerProxy->releaseConnections();
        daemon->storeProxy->releaseConnections();
    }
    for (const auto &worker : m_workers) {
        worker->proxy->releaseConnections();
        if (std::exchange(worker->isolated, false))
            publish(*worker);
    }
}

} // namespace cowsliprock::experiment
