#include "workerroster.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cowsliprock::cell {

namespace {

/// Changes within this delay are coalesced into one write.
constexpr std::chrono::milliseconds coalesceDelay{ 60 };

WorkerQuorum::Workers idsOf(const std::vector<RosterEntry> &entries)
{
    WorkerQuorum::Workers ids;
    for (const auto &entry : entries)
        ids.insert(entry.worker.id);
    return ids;
}

} // namespace

WorkerRoster::WorkerRoster(FencedWriter &writer, Timers &timers, WorkerTable &workers,
                           WorkerQuorum &quorum, std::string key, std::function<void()> changed)
    : m_writer(writer)
    , m_timers(timers)
    , m_workers(workers)
    , m_quorum(quorum)
    , m_key(std::move(key))
    , m_changed(std::move(changed))
{ }

WorkerRoster::~WorkerRoster()
{
    *m_alive = false;
}

void WorkerRoster::restore(const std::string &text, const std::vector<RosterEntry> &entries)
{
    m_text = text;
    m_quorum.rosterWritten(m_version, idsOf(entries));
}

void WorkerRoster::start()
{
    m_started = true;
    update();
}

RosterState WorkerRoster::requiredState(const Worker &worker)
{
    const bool takesOrders = worker.reachable && !worker.entry.draining && !worker.unlistedSince;
    const bool runsUnknown = worker.usedByPreviousOwner && !worker.reconciled;
    if (takesOrders || (runsUnknown && !worker.previousOwnerJobs))
        return RosterState::Open;
    // A successor still has to learn of ends that are not durable.
    const bool holdsSomething = !worker.runs.empty() || !worker.jobsWithUnsavedEnds.empty();
    return runsUnknown || holdsSomething ? RosterState::Closed : RosterState::Absent;
}

RosterEntry WorkerRoster::entryOf(const Worker &worker, RosterState state)
{
    RosterEntry entry{ worker.entry, std::nullopt };
    if (state != RosterState::Closed)
        return entry;
    entry.jobs = worker.jobsWithUnsavedEnds;
    if (!worker.reconciled && worker.previousOwnerJobs)
        entry.jobs->insert(worker.previousOwnerJobs->begin(), worker.previousOwnerJobs->end());
    for (const auto &[key, run] : worker.runs)
        entry.jobs->insert(key.first.job);
    return entry;
}

void WorkerRoster::updateIfNeeded(const Worker &worker)
{
    if (worker.rosterState != requiredState(worker))
        scheduleUpdate();
}

void WorkerRoster::scheduleUpdate()
{
    if (!m_started || std::exchange(m_scheduled, true))
        return;
    m_timers.after(coalesceDelay, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_scheduled = false;
        update();
    });
}

void WorkerRoster::update()
{
    std::vector<RosterEntry> entries;
    States states;
    for (auto &[id, worker] : m_workers) {
        const auto state = requiredState(worker);
        // No order may be sent to a worker while a roster that excludes it is being written.
        worker.rosterState = std::min(worker.rosterState, state);
        if (state != RosterState::Absent)
            entries.push_back(entryOf(worker, state));
        states.emplace(id, state);
    }
    std::sort(entries.begin(), entries.end(),
              [](const auto &left, const auto &right) { return left.worker.id < right.worker.id; });
    auto text = encode(entries);
    if (text == m_text && m_storing)
        return;
    const auto version = ++m_version;
    m_quorum.rosterWritten(version, idsOf(entries));
    const auto whenStored = [this, alive = m_alive, states, version] {
        if (!*alive)
            return;
        m_quorum.rosterStored(version);
        // A newer roster may lack a worker that this one lists.
        if (version == m_version)
            handleStored(states);
    };
    m_storing = true;
    if (std::exchange(m_text, text) == text)
        m_writer.whenDurable(whenStored);
    else
        m_writer.write(m_key, std::move(text), Urgency::Now, whenStored);
}

void WorkerRoster::handleStored(const States &states)
{
    m_storing = false;
    for (const auto &[id, state] : states) {
        const auto worker = m_workers.find(id);
        if (worker != m_workers.end())
            worker->second.rosterState = std::min(state, requiredState(worker->second));
    }
    m_changed();
}

} // namespace cowsliprock::cell
