#include "scheduler.h"

#include "keys.h"
#include "leasetimes.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr std::chrono::milliseconds recoveryCheckInterval{ 50 };
constexpr std::chrono::seconds garbageCollectionInterval{ 5 };
/// Idle workers that have been missing from discovery for this long are removed.
constexpr std::chrono::seconds unlistedRetention{ 8 };

} // namespace

Scheduler::Scheduler(const Ports &ports, const Settings &settings, FencedWriter &writer,
                     std::function<void()> fenced)
    : m_ports(ports)
    , m_settings(settings)
    , m_writer(writer)
    , m_fenced(std::move(fenced))
    , m_activeJobs(MoreUrgent{ settings.policy.order })
    , m_sender(ports.workers, ports.timers, m_answerTimes)
    , m_links(ports.workers, ports.timers, ports.log, m_workers, m_answerTimes, ports.lease,
              { settings.ownershipRevision, settings.lease, settings.maxLease, settings.stopTimeout,
                settings.contested ? Duration(maxOwnershipExtension) : Duration() },
              { [this](Worker &worker, const Inventory &inventory, TimePoint asked) {
                   processInventory(worker, inventory, asked);
               },
                [this](Worker &worker, const Inventory &inventory, TimePoint asked) {
                    handleNewIncarnation(worker, inventory, asked);
                },
                [this](Worker &worker) {
                    m_roster.updateIfNeeded(worker);
                    duplicateSpeculativeRuns(worker);
                },
                [this](Worker &worker) {
                    releaseAllRuns(worker, { "worker leases expired", std::nullopt });
                },
                [this](Worker &worker) { handleReplacement(worker); }, [this] { m_fenced(); } })
    , m_roster(writer, ports.timers, m_workers, ports.lease.workers(), keys::roster(settings.shard),
               [this] { requestPass(); })
    , m_begunAt(ports.timers.now())
{
    collectGarbage();
}

Scheduler::~Scheduler()
{
    *m_alive = false;
}

bool Scheduler::MoreUrgent::operator()(const Job *left, const Job *right) const
{
    const bool byPriority = std::holds_alternative<UrgencyOrder>(order);
    const auto key = [byPriority](const Job *job) {
        return std::tuple(byPriority ? job->record.queue.priority : 0, job->created,
                          std::string_view(job->record.id));
    };
    return key(left) < key(right);
}

TaskId Scheduler::StepView::task(std::uint32_t taskIndex) const
{
    return { job->record.id, occurrence->number, index, taskIndex };
}

Scheduler::Rank Scheduler::StepView::rank() const noexcept
{
    return { serviceClass(), job->record.queue.priority, share };
}

bool Scheduler::StepView::startable(const Task &waiting, TimePoint now) const noexcept
{
    const bool unplaced = waiting.phase == TaskPhase::Waiting || waiting.copyRequested;
    return unplaced && waiting.strayRuns == 0 && waiting.notBefore <= now
        && (!job->mayHaveRunsOfEarlierOwner || waiting.reconciled);
}

std::uint32_t Scheduler::StepView::startableTasks(TimePoint now) const noexcept
{
    return static_cast<std::uint32_t>(
        std::count_if(step->tasks.begin(), step->tasks.end(),
                      [this, now](const Task &waiting) { return startable(waiting, now); }));
}

void Scheduler::configure(const CellConfiguration &configuration)
{
    m_configuration = configuration;
    m_quotas.configure(configuration.customers);
    m_shares.configure(configuration.customers, now());
    // Priorities may have changed, so the ordered set is rebuilt.
    const auto jobs =
        std::exchange(m_activeJobs, ActiveJobs(MoreUrgent{ m_settings.policy.order }));
    for (Job *job : jobs) {
        if (const auto *queue = configuration.findQueue(job->record.queue.name))
            job->record.queue = *queue;
        job->excess = job->excess && m_shares.active();
        m_activeJobs.insert(job);
    }
    requestPass();
}

void Scheduler::workerListed(const WorkerEntry &entry)
{
    auto [found, added] = m_workers.try_emplace(entry.id);
    Worker &worker = found->second;
    if (added || worker.entry.address != entry.address || worker.entry.draining != entry.draining) {
        m_ports.log.write(now(), "worker.listed",
                          { { "worker", entry.id },
                            { "address", entry.address },
                            { "draining", entry.draining },
                            { "born", entry.born } });
    }
    const bool leaves = entry.draining && !worker.entry.draining;
    worker.entry = entry;
    worker.unlistedSince.reset();
    if (leaves && worker.entryIsCurrent())
        evacuate(worker);
    if (added)
        m_links.add(worker);
    else if (entry.born != 0 && worker.born != 0 && entry.born != worker.born)
        m_links.pollSoon(entry.id);
    m_roster.updateIfNeeded(worker);
    requestPass();
}

void Scheduler::workerUnlisted(const std::string &id)
{
    const auto entry = m_workers.find(id);
    if (entry == m_workers.end() || entry->second.unlistedSince)
        return;
    entry->second.unlistedSince = now();
    m_ports.log.write(now(), "worker.unlisted", { { "worker", id } });
    m_roster.updateIfNeeded(entry->second);
}

void Scheduler::restoreRoster(const std::string &text)
{
    const auto roster = decodeRoster(text).value_or(std::vector<RosterEntry>());
    m_roster.restore(text, roster);
    for (const auto &[entry, jobs] : roster) {
        const auto [found, added] = m_workers.try_emplace(entry.id);
        if (!added)
            continue;
        found->second.entry = entry;
        found->second.previousOwnerJobs = jobs;
        found->second.unlistedSince = now();
        found->second.usedByPreviousOwner = true;
        m_links.add(found->second);
    }
}

bool Scheduler::mayUseWorkers() const
{
    if (!m_settings.contested || now() - m_begunAt >= maxOwnershipExtension)
        return true;
    std::size_t listed = 0;
    std::size_t fenced = 0;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.usedByPreviousOwner)
            continue;
        ++listed;
        fenced += worker.hasObeyed() || worker.reconciled ? 1 : 0;
    }
    return fenced >= fencingQuorum(listed);
}

void Scheduler::loaded()
{
    if (!mayUseWorkers()) {
        m_ports.timers.after(recoveryCheckInterval, [this, alive = m_alive] {
            if (*alive)
                loaded();
        });
        return;
    }
    if (m_settings.contested) {
        m_ports.log.write(now(), "shard.workersFenced", { { "shard", m_settings.shard } });
        m_links.formerOwnerFenced();
        m_ports.lease.workersFenced();
    }
    m_loaded = true;
    m_roster.start();
    checkRecovery();
    requestPass();
}

void Scheduler::checkRecovery()
{
    if (!m_recovering)
        return;
    const bool reconciled = std::all_of(m_workers.begin(), m_workers.end(), [](const auto &entry) {
        return !entry.second.usedByPreviousOwner || entry.second.reconciled;
    });
    if (m_loaded && reconciled) {
        finishRecovery();
        return;
    }
    if (m_loaded)
        releaseReconciledJobs();
    m_ports.timers.after(recoveryCheckInterval, [this, alive = m_alive] {
        if (*alive)
            checkRecovery();
    });
}

std::optional<JobStatus> Scheduler::status(const std::string &id) const
{
    const Job *job = m_jobs.find(id);
    if (job == nullptr)
        return std::nullopt;
    if (job->active())
        return job->status;
    // The end of a job is reported only once it is durable.
    return job->endIsDurable() ? job->status : JobStatus::Running;
}

std::uint64_t Scheduler::pending(const std::string &queue) const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_activeJobs.begin(), m_activeJobs.end(), [&queue](const Job *job) {
            return !job->everStarted && job->record.queue.name == queue;
        }));
}

bool Scheduler::stoppingRuns() const
{
    const auto isStopping = [](const auto &run) { return run.second.phase == RunPhase::Stopping; };
    return std::any_of(m_workers.begin(), m_workers.end(), [&isStopping](const auto &entry) {
        const auto &runs = entry.second.runs;
        return entry.second.reachable && std::any_of(runs.begin(), runs.end(), isStopping);
    });
}

void Scheduler::collectGarbage()
{
    const auto current = now();
    for (auto entry = m_workers.begin(); entry != m_workers.end();) {
        const Worker &worker = entry->second;
        const bool mayHaveUnknownRuns = worker.usedByPreviousOwner && !worker.reconciled;
        const bool gone = worker.unlistedSince
            && current - *worker.unlistedSince > unlistedRetention && worker.runs.empty()
            && !worker.reachable && !mayHaveUnknownRuns;
        if (gone) {
            m_links.forget(entry->first);
            entry = m_workers.erase(entry);
            // The lists of usable workers hold pointers into the table.
            m_usableWorkers.clear();
            m_fastestUsable.clear();
            m_slowestUsable.clear();
            m_usableRefreshedAt = {};
        } else {
            ++entry;
        }
    }
    std::vector<std::string> ended;
    for (const auto &[id, job] : m_jobs.all()) {
        if (job->endIsDurable() && current - job->endDurableAt > m_settings.statusRetention)
            ended.push_back(id);
    }
    for (const auto &id : ended) {
        m_jobs.erase(id);
        m_writer.remove(keys::ended(m_settings.shard, id));
    }
    m_ports.timers.after(garbageCollectionInterval, [this, alive = m_alive] {
        if (*alive)
            collectGarbage();
    });
}

} // namespace cowsliprock::cell
