#include <standincell/world.h>

#include "ports.h"

#include <standincell/documents.h>

#include <base/id.h>

#include <utility>

namespace cowsliprock::standincell {

using namespace cell;

namespace {

/// The entry of an unreachable worker is removed after three missed heartbeats.
constexpr std::chrono::milliseconds entryExpiry{ 4500 };

/// Address that differs between any two workers.
std::string workerAddress(const std::string &id)
{
    const auto bits = static_cast<std::uint32_t>(stableHash(id));
    std::string address;
    for (const unsigned shift : { 24U, 16U, 8U, 0U })
        address += std::to_string(bits >> shift & 0xFFU) + (shift == 0 ? ":80" : ".");
    return address;
}

} // namespace

void World::publishWorker(WorkerSlot &slot)
{
    const auto &model = *slot.model;
    m_store.put(workerKey(model.id()),
                workerDocument(model, workerAddress(model.id()), slot.draining, slot.kind));
}

void World::isolateWorker(std::uint32_t index, bool isolated)
{
    auto &slot = *m_workers.at(index);
    slot.isolated = isolated;
    if (!isolated) {
        publishWorker(slot);
        return;
    }
    m_time.after(entryExpiry, [this, &slot] {
        if (slot.isolated)
            m_store.remove(workerKey(slot.model->id()));
    });
}

void World::isolateWorkerFrom(std::uint32_t node, std::uint32_t worker, bool isolated)
{
    auto &slot = *m_workers.at(worker);
    const auto &name = m_nodes.at(node)->name;
    if (isolated)
        slot.isolatedFrom.insert(name);
    else
        slot.isolatedFrom.erase(name);
}

void World::setWorkerStorePath(WorkerSlot &slot, bool connected)
{
    if (std::exchange(slot.cutFromStore, !connected) == !connected)
        return;
    if (connected) {
        if (!slot.isolated)
            publishWorker(slot);
        return;
    }
    m_time.after(entryExpiry, [this, &slot] {
        if (slot.cutFromStore)
            m_store.remove(workerKey(slot.model->id()));
    });
}

void World::setWorkerSpeed(std::uint32_t index, double speed)
{
    m_workers.at(index)->model->setSpeed(speed);
}

void World::setWorkerCapacity(std::uint32_t index, const Resources &capacity)
{
    auto &slot = *m_workers.at(index);
    slot.model->setCapacity(capacity);
    if (!slot.isolated && !slot.cutFromStore)
        publishWorker(slot);
}

void World::removeWorker(std::uint32_t index)
{
    auto &slot = *m_workers.at(index);
    m_guarantees.crashed(slot.model->id());
    // Its machine is gone: nothing resets its connections.
    slot.pendingPolls.clear();
    slot.crash();
    slot.isolated = true;
    slot.draining = false;
    m_store.remove(workerKey(slot.model->id()));
}

void World::crashWorker(std::uint32_t index, Duration publishedAfter, const std::string &kind)
{
    auto &slot = *m_workers.at(index);
    m_guarantees.crashed(slot.model->id());
    slot.crash();
    slot.kind = kind;
    if (publishedAfter == Duration::zero())
        publishWorker(slot);
    else
        m_time.after(publishedAfter, [this, &slot] { publishWorker(slot); });
}

void World::replaceWorker(std::uint32_t index, Duration downtime)
{
    auto &slot = *m_workers.at(index);
    if (slot.isolated)
        return;
    const auto former = slot.model->id();
    m_guarantees.crashed(former);
    slot.crash();
    slot.isolated = true;
    slot.down = true;
    const bool keepsId = m_settings.replacedWorkersKeepTheirId;
    if (!keepsId)
        m_time.after(entryExpiry, [this, former] { m_store.remove(workerKey(former)); });
    m_time.after(downtime, [this, &slot, former, keepsId] {
        if (!keepsId)
            slot.formerIds.insert(former);
        slot.model->replace(keepsId ? former : "worker-new-" + std::to_string(++m_replacedWorkers));
        slot.isolated = false;
        slot.down = false;
        publishWorker(slot);
    });
}

void World::drainWorker(std::uint32_t index)
{
    m_workers.at(index)->draining = true;
    publishWorker(*m_workers.at(index));
}

} // namespace cowsliprock::standincell
