#include "cellparts.h"

#include <standincell/documents.h>

#include <eventloop/eventloop.h>

#include <csignal>

namespace cowsliprock::experiment {

using namespace standincell;

namespace {

/// A worker that says nothing is taken out of discovery after three heartbeats.
constexpr std::chrono::milliseconds entryTime{ 4500 };

} // namespace

void Cell::signal(std::uint32_t daemon, int number)
{
    auto &slot = *m_daemons.at(daemon);
    slot.told = slot.told || number == SIGKILL || number == SIGTERM;
    slot.process->signal(number);
    // As the platform does, a process that ignores the request is killed.
    if (number == SIGTERM) {
        m_loop.after(graceTime, [&slot] {
            if (slot.told)
                slot.process->signal(SIGKILL);
        });
    }
}

void Cell::disturbStore(std::optional<std::uint32_t> daemon, StoreFault fault)
{
    for (std::uint32_t number = 0; number < m_daemons.size(); ++number) {
        if (!daemon || *daemon == number)
            m_daemons[number]->store->setFault(fault);
    }
}

void Cell::storeDelay(Duration delay)
{
    for (const auto &daemon : m_daemons)
        daemon->store->delay(delay);
}

void Cell::crash(std::uint32_t number)
{
    auto &worker = *m_workers.at(number);
    m_observer.crashed(worker.model->id());
    worker.model->crash();
    worker.proxy->resetConnections();
    publish(worker);
}

void Cell::workerBehaves(std::uint32_t number, WorkerFault fault)
{
    auto &worker = *m_workers.at(number);
    worker.fault = fault;
    worker.server->setFault(fault);
    if (fault != WorkerFault::Silent) {
        publish(worker);
        return;
    }
    m_loop.after(entryTime, [this, &worker] {
        if (worker.fault == WorkerFault::Silent)
            m_store.remove(workerKey(worker.model->id()));
    });
}

void Cell::drain(std::uint32_t number, bool draining)
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
        daemon->storeProxy->delay(delay);
    for (const auto &worker : m_workers)
        worker->proxy->delay(delay);
}

void Cell::cutStoreLink(std::uint32_t daemon, Direction direction, bool isCut)
{
    m_daemons.at(daemon)->storeProxy->cut(direction, isCut);
}

} // namespace cowsliprock::experiment
