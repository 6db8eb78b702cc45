#include "scheduler.h"

#include "keys.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr std::chrono::milliseconds recoveryCheckInterval{ 50 };
constexpr std::chrono::seconds garbageInterval{ 5 };
/// Workers that discovery does not show for this long, and that run nothing, are forgotten.
constexpr std::chrono::seconds unlistedKept{ 8 };

} // namespace

Scheduler::Scheduler(const Ports &ports, const Settings &settings, FencedWriter &writer,
                     std::function<void()> fenced)
    : m_ports(ports)
    , m_settings(settings)
    , m_writer(writer)
    , m_fenced(std::move(fenced))
    , m_activeJobs(MoreUrgent{ settings.policy.order })
    , m_sender(ports.workers, ports.timers, m_answerTimes)
    , m_links(ports.workers, ports.timers, ports.log, m_workers, m_answerTimes,
              { settings.ownershipRevision, settings.lease, settings.longestLease },
              { [this](Worker &worker, const Inventory &inventory, TimePoint asked) {
                   takeInventory(worker, inventory, asked);
               },
                [this](Worker &worker, const Inventory &inventory, TimePoint asked) {
                    takeNewLife(worker, inventory, asked);
                },
                [this](Worker &worker) {
                    m_roster.check(worker);
                    copyRunsOf(worker);
                },
                [this](Worker &worker) { endAllRuns(worker); }, [this] { m_fenced(); } })
    , m_roster(writer, ports.timers, m_workers, keys::roster(settings.shard),
               [this] { requestPass(); })
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
    return { band, job->record.queue.priority };
}

bool Scheduler::StepView::startable(const Task &waiting, TimePoint now) const noexcept
{
    const bool open = waiting.phase == TaskPhase::Waiting || waiting.copyWanted;
    return open && waiting.notBefore <= now && (!job->mayRunElsewhere || waiting.accountedFor);
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
    // The priorities, and with them the order, may change.
    const auto jobs =
        std::exchange(m_activeJobs, ActiveJobs(MoreUrgent{ m_settings.policy.order }));
    for (Job *job : jobs) {
        if (const auto *queue = configuration.queueNamed(job->record.queue.name))
            job->record.queue = *queue;
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
    if (leaves)
        evacuate(worker);
    if (added)
        m_links.add(worker);
    else if (entry.born != 0 && worker.born != 0 && entry.born != worker.born)
        m_links.poke(entry.id);
    m_roster.check(worker);
    requestPass();
}

void Scheduler::workerUnlisted(const std::string &id)
{
    const auto entry = m_workers.find(id);
    if (entry == m_workers.end() || entry->second.unlistedSince)
        return;
    entry->second.unlistedSince = now();
    m_ports.log.write(now(), "worker.unlisted", { { "worker", id } });
    m_roster.check(entry->second);
}

void Scheduler::rosterRead(const std::string &text)
{
    const auto roster = decodeRoster(text);
    m_roster.restore(text);
    for (const auto &[entry, jobs] : roster.value_or(std::vector<RosterEntry>())) {
        const auto [found, added] = m_workers.try_emplace(entry.id);
        if (!added)
            continue;
        found->second.entry = entry;
        found->second.formerJobs = jobs;
        found->second.unlistedSince = now();
        found->second.usedBefore = true;
        m_links.add(found->second);
    }
}

void Scheduler::loaded()
{
    m_loaded = true;
    m_roster.start();
    checkRecovery();
    requestPass();
}

void Scheduler::checkRecovery()
{
    if (!m_recovering)
        return;
    const bool accountedFor =
        std::all_of(m_workers.begin(), m_workers.end(), [](const auto &entry) {
            return !entry.second.usedBefore || entry.second.accountedFor;
        });
    if (m_loaded && accountedFor) {
        finishRecovery();
        return;
    }
    if (m_loaded)
        settleJobs();
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
    // The end of a job is told once it is durable.
    const bool durable = job->durableStatus == job->status;
    return durable ? job->status : JobStatus::Running;
}

std::uint64_t Scheduler::pending(const std::string &queue) const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_activeJobs.begin(), m_activeJobs.end(), [&queue](const Job *job) {
            return !job->everStarted && job->record.queue.name == queue;
        }));
}

void Scheduler::collectGarbage()
{
    const auto current = now();
    for (auto entry = m_workers.begin(); entry != m_workers.end();) {
        const Worker &worker = entry->second;
        const bool gone = worker.unlistedSince && current - *worker.unlistedSince > unlistedKept
            && worker.runs.empty() && !worker.reachable;
        if (gone) {
            m_links.forget(entry->first);
            entry = m_workers.erase(entry);
            // The list points to it.
            m_usable.clear();
            m_usableFound = {};
        } else {
            ++entry;
        }
    }
    std::vector<std::string> ended;
    for (const auto &[id, job] : m_jobs.all()) {
        if (!job->active() && current - job->endedAt > m_settings.statusKept)
            ended.push_back(id);
    }
    for (const auto &id : ended) {
        m_jobs.erase(id);
        m_writer.remove(keys::ended(m_settings.shard, id));
    }
    m_ports.timers.after(garbageInterval, [this, alive = m_alive] {
        if (*alive)
            collectGarbage();
    });
}

} // namespace cowsliprock::cell
