#include "shard.h"

#include "keys.h"

#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr PrefixWatch::Options jobsWatch{ std::chrono::milliseconds(1500),
                                          std::chrono::milliseconds(30) };
constexpr PrefixWatch::Options workersWatch{ std::chrono::milliseconds(1500),
                                             std::chrono::milliseconds(25) };
constexpr std::chrono::milliseconds retryDelay{ 150 };
/// Interval of the clean-up that removes expired end records of jobs written by previous owners.
constexpr Duration sweepInterval{ std::chrono::seconds(60) };
constexpr Duration sweepPageInterval{ std::chrono::seconds(1) };
constexpr std::chrono::milliseconds stopCheckInterval{ 30 };

std::string lastSegment(const std::string &key)
{
    return key.substr(key.rfind('/') + 1);
}

} // namespace

Shard::Shard(const Scheduler::Ports &ports, StorePort &store, const PlatformRecords &records,
             const Scheduler::Settings &settings, StoreCondition fence, std::function<void()> lost)
    : m_ports(ports)
    , m_store(store)
    , m_records(records)
    , m_shard(settings.shard)
    , m_lost(std::move(lost))
    , m_statusRetention(settings.statusRetention)
    , m_stopTimeout(settings.stopTimeout)
    , m_writer(store, ports.timers, std::move(fence), [this] { loseOwnership(); })
    , m_scheduler(ports, settings, m_writer, [this] { loseOwnership(); })
    , m_jobs(store, ports.timers, keys::jobsPrefix(settings.shard), jobsWatch,
             { [this](const StoreItem &item) { applyJob(item); },
               [this](const std::string &key, std::uint64_t) {
                   m_scheduler.jobRemoved(lastSegment(key));
               },
               [this] { jobsListed(); },
               {} })
    , m_workers(store, ports.timers, records.workersPrefix, workersWatch,
                { [this](const StoreItem &item) { applyWorker(item); },
                  [this](const std::string &key, std::uint64_t) { removeWorker(key); },
                  [this] { finishLoading(); },
                  {} })
{ }

Shard::~Shard()
{
    *m_alive = false;
}

void Shard::start()
{
    readStates("");
}

AcceptedAnswer Shard::jobAccepted(const StoreItem &item)
{
    m_jobs.offer(item);
    return { m_scheduler.excessDelay(lastSegment(item.key)) };
}

void Shard::whenReadyForHandover(std::function<void()> action)
{
    awaitStops(m_ports.timers.now() + m_stopTimeout, std::move(action));
}

void Shard::awaitStops(TimePoint limit, std::function<void()> action)
{
    if (!m_scheduler.stoppingRuns() || m_ports.timers.now() >= limit) {
        m_writer.whenDurable(std::move(action));
        return;
    }
    m_ports.timers.after(stopCheckInterval,
                         [this, alive = m_alive, limit, action = std::move(action)] {
                             if (*alive)
                                 awaitStops(limit, action);
                         });
}

void Shard::retry(void (Shard::*step)())
{
    m_ports.timers.after(retryDelay, [this, step, alive = m_alive] {
        if (*alive)
            (this->*step)();
    });
}

void Shard::readStates(const std::string &after)
{
    m_store.list(keys::statesPrefix(m_shard), after,
                 [this, alive = m_alive, after](const Result<StorePage> &page) {
                     if (!*alive)
                         return;
                     if (!page.has_value()) {
                         m_ports.timers.after(retryDelay, [this, aliveFlag = m_alive, after] {
                             if (*aliveFlag)
                                 readStates(after);
                         });
                         return;
                     }
                     for (const auto &item : page.value().items) {
                         m_writer.setRevision(item.key, item.revision);
                         if (auto progress = decodeProgress(item.value))
                             m_progress[lastSegment(item.key)] = std::move(*progress);
                     }
                     if (page.value().more && !page.value().items.empty())
                         readStates(page.value().items.back().key);
                     else
                         m_jobs.start();
                 });
}

void Shard::jobsListed()
{
    // Workers are queried only after all jobs are known: reports about an unknown job are dropped.
    if (std::exchange(m_jobsLoaded, true))
        return;
    // Remaining entries belong to jobs whose records were removed after they ended.
    for (const auto &[id, progress] : m_progress)
        m_writer.remove(keys::state(m_shard, id));
    m_progress.clear();
    readRoster();
}

void Shard::readRoster()
{
    m_store.read(keys::roster(m_shard),
                 [this, alive = m_alive](const Result<std::optional<StoreItem>> &item) {
                     if (!*alive)
                         return;
                     if (!item.has_value()) {
                         retry(&Shard::readRoster);
                         return;
                     }
                     if (item.value()) {
                         m_writer.setRevision(item.value()->key, item.value()->revision);
                         m_scheduler.restoreRoster(item.value()->value);
                     }
                     m_workers.start();
                 });
}

void Shard::finishLoading()
{
    if (std::exchange(m_loaded, true))
        return;
    m_scheduler.loaded();
    scheduleSweep(sweepInterval, "");
}

void Shard::scheduleSweep(Duration delay, const std::string &after)
{
    m_ports.timers.after(delay, [this, alive = m_alive, after] {
        if (*alive)
            sweepEndRecords(after);
    });
}

void Shard::sweepEndRecords(const std::string &after)
{
    m_store.list(
        keys::endedPrefix(m_shard), after, [this, alive = m_alive](const Result<StorePage> &page) {
            if (!*alive)
                return;
            if (!page.has_value()) {
                scheduleSweep(sweepInterval, "");
                return;
            }
            const auto now = m_ports.timers.now();
            for (const auto &item : page.value().items) {
                // The scheduler removes the end records that it has written itself.
                if (m_scheduler.status(lastSegment(item.key)))
                    continue;
                const auto seen = m_endRecordsSeen.try_emplace(item.key, now).first->second;
                if (now - seen < m_statusRetention)
                    continue;
                m_endRecordsSeen.erase(item.key);
                m_writer.setRevision(item.key, item.revision);
                m_writer.remove(item.key);
            }
            const bool more = page.value().more && !page.value().items.empty();
            scheduleSweep(more ? sweepPageInterval : sweepInterval,
                          more ? page.value().items.back().key : std::string());
        });
}

void Shard::applyJob(const StoreItem &item)
{
    const auto record = decodeJob(item.value);
    if (!record) {
        m_ports.log.write(m_ports.timers.now(), "job.malformed", { { "key", item.key } });
        return;
    }
    std::optional<JobProgress> progress;
    if (auto stored = m_progress.extract(record->id); !stored.empty())
        progress = std::move(stored.mapped());
    m_writer.setRevision(item.key, item.revision);
    m_scheduler.jobStored(*record, item.created, progress);
}

void Shard::applyWorker(const StoreItem &item)
{
    const auto entry = m_records.decodeWorker(item.key, item.value);
    if (!entry) {
        m_ports.log.write(m_ports.timers.now(), "worker.malformed", { { "key", item.key } });
        removeWorker(item.key);
        return;
    }
    m_scheduler.workerListed(*entry);
}

void Shard::removeWorker(const std::string &key)
{
    m_scheduler.workerUnlisted(m_records.workerOfKey(key));
}

void Shard::loseOwnership()
{
    // Deferred: the caller may be a member of this object, which the callback destroys.
    m_ports.timers.after(Duration::zero(), [this, alive = m_alive] {
        if (*alive && m_lost)
            std::exchange(m_lost, {})();
    });
}

} // namespace cowsliprock::cell
