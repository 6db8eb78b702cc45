#include "cellparts.h"

#include <standincell/documents.h>

#include <eventloop/eventloop.h>

#include <csignal>

namespace cowsliprock::experiment {

using namespace standincell;

namespace {

/// The discovery entry of a worker expires after three missed heartbeats.
constexpr std::chrono::milliseconds discoveryExpiry{ 4500 };

} // namespace

void Cell::signal(std::uint32_t daemon, int number)
{
    auto &entry = *m_daemons.at(daemon);
    entry.exitExpected = entry.exitExpected || number == SIGKILL || number == SIGTERM;
    entry.process->signal(number);
    // Like the platform, kills a process that has not exited within the grace time.
    if (number == SIGTERM) {
        m_loop.after(graceTime, [&entry] {
            if (entry.exitExpected)
                entry.process->signal(SIGKILL);
        });
    }
}

void Cell::setStoreFault(std::optional<std::uint32_t> daemon, StoreFault fault)
{
    for (std::uint32_t number = 0; number < m_daemons.size(); ++number) {
        if (!daemon || *daemon == number)
            m_daemons[number]->store->setFault(fault);
    }
}

void Cell::setStoreDelay(Duration delay)
{
    for (const auto &daemon : m_daemons)
        daemon->store->delay(delay);
}

void Cell::crashWorker(std::uint32_t number)
{
    auto &worker = *m_workers.at(number);
    m_observer.crashed(worker.model->id());
    worker.model->crash();
    worker.proxy->resetConnections();
    publish(worker);
}

void Cell::setWorkerFault(std::uint32_t number, WorkerFault fault)
{
    auto &worker = *m_workers.at(number);
    worker.fault = fault;
    worker.server->setFault(fault);
    if (fault != WorkerFault::Silent) {
        publish(worker);
        return;
    }
    expireDiscovery(worker);
}

void Cell::expireDiscovery(Worker &worker)
{
    m_loop.after(discoveryExpiry, [this, &worker] {
        if (worker.fault == WorkerFault::Silent || worker.isolated)
            m_store.remove(workerKey(worker.model->id()));
    });
}

void Cell::setWorkerDraining(std::uint32_t number, bool draining)
{
    auto &worker = *m_workers.at(number);
    worker.draining = draining;
    publish(worker);
}

template <typename Action>
void Cell::forEachLink(const Action &action)
{
    for (const auto &daemon : m_daemons) {
        action(*daemon->storeProxy);
        action(*daemon->clientProxy);
    }
    for (const auto &worker : m_workers)
        action(*worker->proxy);
}

void Cell::resetLinks()
{
    forEachLink([](FaultProxy &link) { link.resetConnections(); });
}

void Cell::silenceLinks()
{
    forEachLink([](FaultProxy &link) { link.silenceConnections(); });
}

void Cell::delayLinks(Duration delay)
{
    for (const auto &daemon : m_daemons)
        daemon->storeProxy->setDelay(delay);
    for (const auto &worker : m_workers)
        worker->proxy->setDelay(delay);
}

void Cell::cutStoreLink(std::uint32_t daemon, Direction direction, bool dropping)
{
    m_daemons.at(daemon)->storeProxy->setDropping(direction, dropping);
}

} // namespace cowsliprock::experiment
