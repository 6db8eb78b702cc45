#include "workerroster.h"

#include "records.h"

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

bool WorkerRoster::belongs(const Worker &worker)
{
    const bool runsUnknown = worker.usedBefore && !worker.accountedFor;
    const bool takesOrders = worker.reachable && !worker.entry.draining && !worker.unlistedSince;
    return runsUnknown || takesOrders || !worker.runs.empty();
}

void WorkerRoster::check(const Worker &worker)
{
    if (worker.inRoster != belongs(worker))
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
    std::vector<WorkerEntry> entries;
    std::set<std::string> names;
    for (auto &[id, worker] : m_workers) {
        if (!belongs(worker)) {
            // No order may be sent while the list without it is on its way.
            worker.inRoster = false;
            continue;
        }
        entries.push_back(worker.entry);
        names.insert(id);
    }
    std::sort(entries.begin(), entries.end(),
              [](const WorkerEntry &left, const WorkerEntry &right) { return left.id < right.id; });
    auto text = encode(entries);
    if (text == m_text && m_storing)
        return;
    const auto version = ++m_version;
    const auto whenStored = [this, alive = m_alive, names, version] {
        // A newer list may lack a worker that this one names.
        if (*alive && version == m_version)
            stored(names);
    };
    m_storing = true;
    if (std::exchange(m_text, text) == text)
        m_writer.whenDurable(whenStored);
    else
        m_writer.write(m_key, std::move(text), Urgency::Now, whenStored);
}

void WorkerRoster::stored(const std::set<std::string> &names)
{
    m_storing = false;
    for (const auto &id : names) {
        const auto worker = m_workers.find(id);
        if (worker != m_workers.end() && belongs(worker->second))
            worker->second.inRoster = true;
    }
    m_changed();
}

} // namespace cowsliprock::cell
