#include "workerroster.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cowsliprock::cell {

namespace {

/// Changes that come close together are written together.
constexpr std::chrono::milliseconds gatherTime{ 60 };

} // namespace

WorkerRoster::WorkerRoster(FencedWriter &writer, Timers &timers, WorkerTable &workers,
                           std::string key, std::function<void()> changed)
    : m_writer(writer)
    , m_timers(timers)
    , m_workers(workers)
    , m_key(std::move(key))
    , m_changed(std::move(changed))
{ }

WorkerRoster::~WorkerRoster()
{
    *m_alive = false;
}

void WorkerRoster::restore(const std::string &text)
{
    m_text = text;
}

void WorkerRoster::start()
{
    m_started = true;
    update();
}

RosterState WorkerRoster::due(const Worker &worker)
{
    const bool takesOrders = worker.reachable && !worker.entry.draining && !worker.unlistedSince;
    const bool runsUnknown = worker.usedBefore && !worker.accountedFor;
    if (takesOrders || (runsUnknown && !worker.formerJobs))
        return RosterState::Open;
    // A successor has to hear of ends that are not durable.
    const bool holdsSomething = !worker.runs.empty() || !worker.jobsOfEnds.empty();
    return runsUnknown || holdsSomething ? RosterState::Closed : RosterState::Absent;
}

RosterEntry WorkerRoster::entryOf(const Worker &worker, RosterState state)
{
    RosterEntry entry{ worker.entry, std::nullopt };
    if (state != RosterState::Closed)
        return entry;
    entry.jobs = worker.jobsOfEnds;
    if (!worker.accountedFor && worker.formerJobs)
        entry.jobs->insert(worker.formerJobs->begin(), worker.formerJobs->end());
    for (const auto &[key, run] : worker.runs)
        entry.jobs->insert(key.first.job);
    return entry;
}

void WorkerRoster::check(const Worker &worker)
{
    if (worker.inRoster != due(worker))
        updateLater();
}

void WorkerRoster::updateLater()
{
    if (!m_started || std::exchange(m_scheduled, true))
        return;
    m_timers.after(gatherTime, [this, alive = m_alive] {
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
        const auto state = due(worker);
        // No order may be sent while a list that excludes it is on its way.
        worker.inRoster = std::min(worker.inRoster, state);
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
    const auto whenStored = [this, alive = m_alive, states, version] {
        // A newer list may lack a worker that this one names.
        if (*alive && version == m_version)
            stored(states);
    };
    m_storing = true;
    if (std::exchange(m_text, text) == text)
        m_writer.whenDurable(whenStored);
    else
        m_writer.write(m_key, std::move(text), Urgency::Now, whenStored);
}

void WorkerRoster::stored(const States &states)
{
    m_storing = false;
    for (const auto &[id, state] : states) {
        const auto worker = m_workers.find(id);
        if (worker != m_workers.end())
            worker->second.inRoster = std::min(state, due(worker->second));
    }
    m_changed();
}

} // namespace cowsliprock::cell
