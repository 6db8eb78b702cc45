#include <standincell/world.h>

#include "ports.h"

#include <standincell/documents.h>

#include <ingress.h>
#include <records.h>

#include <base/id.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::standincell {

using namespace cell;

namespace {

constexpr std::chrono::milliseconds minDelay{ 1 };
constexpr std::chrono::milliseconds maxDelay{ 8 };
constexpr std::chrono::milliseconds restartDelay{ 500 };
/// Time after its start at which a deadly task crashes its worker.
constexpr std::chrono::milliseconds deadlyTaskTime{ 10 };
constexpr std::chrono::milliseconds deadlyTaskDowntime{ 3000 };
constexpr std::chrono::milliseconds defaultAdviceTime{ 50 };
constexpr std::chrono::seconds defaultAdviceValidity{ 2 };
constexpr double longTaskFactor = 7;

std::string nodeName(std::uint32_t index)
{
    return "node-" + std::to_string(index);
}

/// Work of one task, which is the same for each of its runs.
Duration workOf(const TaskId &task, const World::JobPlan &job)
{
    if (job.taskSpread <= 0 && job.longTaskShare <= 0)
        return job.work;
    std::mt19937 random(static_cast<std::uint32_t>(stableHash(task.text())));
    std::lognormal_distribution<double> size(0, job.taskSpread);
    std::bernoulli_distribution isLong(job.longTaskShare);
    const double factor = size(random) * (isLong(random) ? longTaskFactor : 1);
    return std::chrono::duration_cast<Duration>(job.work * factor);
}

} // namespace

World::World(const Settings &settings)
    : m_settings(settings)
    , m_store(m_time)
    , m_quotas([this] { return oldestConfiguration(); })
    , m_guarantees(m_time, &m_quotas)
    , m_random(settings.seed)
{
    changeConfiguration();
    for (std::uint32_t index = 0; index < settings.workers; ++index) {
        auto slot = std::make_unique<WorkerSlot>();
        WorkerModel::Settings workerSettings;
        workerSettings.id = "worker-" + std::to_string(index);
        workerSettings.capacity = settings.workerCapacity;
        workerSettings.stopTime = settings.stopTime;
        workerSettings.listsStoppingRuns = settings.listsStoppingRuns;
        slot->model = std::make_unique<WorkerModel>(
            m_time, workerSettings, [this, index](const TaskId &task) { return plan(task, index); },
            m_guarantees);
        publishWorker(*slot);
        m_workers.push_back(std::move(slot));
    }
    std::vector<WorkerModel *> models;
    for (const auto &slot : m_workers)
        models.push_back(slot->model.get());
    linkGangs(models);
    for (std::uint32_t index = 0; index < settings.nodes; ++index) {
        m_nodes.push_back(std::make_unique<NodeSlot>(*this, m_time, m_store, nodeName(index)));
        start(index);
    }
}

World::~World() = default;

void World::changeConfiguration()
{
    QueueSettings queue;
    queue.name = "batch";
    queue.host = "h";
    queue.prefix = "/q/";
    queue.service = "s";
    queue.priority = 1;
    queue.maxAttempts = maxAttempts;
    queue.extension = 2.0;
    queue.targetRuntime = std::chrono::seconds(1);
    queue.timeout = std::chrono::seconds(3);
    if (m_settings.advice) {
        queue.advice = AdviceSettings{ std::chrono::milliseconds(40), std::chrono::milliseconds(1),
                                       std::chrono::seconds(2) };
    }
    auto queues = m_settings.queues;
    if (queues.empty())
        queues.push_back(queue);
    m_store.put(configurationKey, configurationDocument(++m_version, queues, m_settings.customers));
    m_quotas.configured(m_version, m_settings.customers, m_time.now());
}

void World::changeCustomers(std::vector<CustomerPlan> customers)
{
    m_settings.customers = std::move(customers);
    changeConfiguration();
}

TaskPlan World::plan(const TaskId &task, std::uint32_t worker)
{
    TaskPlan result;
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return result;
    const auto &step = job->second.spec.steps.at(task.step);
    result.amount = step.amount;
    result.work = workOf(task, job->second);
    result.gangSize = step.gang ? step.count : 0;
    result.fails = job->second.failingRuns.contains(++m_startsOfTask[task]);
    if (job->second.deadly) {
        m_time.after(deadlyTaskTime, [this, worker] { replaceWorker(worker, deadlyTaskDowntime); });
    }
    return result;
}

Duration World::delay()
{
    std::uniform_int_distribution<std::int64_t> pick(Duration(minDelay).count(),
                                                     Duration(maxDelay).count());
    return m_extraDelay + Duration(pick(m_random));
}

bool World::allowed(const std::string &step, const std::string &worker) const
{
    constexpr std::uint64_t parts = 1000;
    return static_cast<double>(stableHash(step + worker) % parts)
        < m_settings.adviceAllowedShare * static_cast<double>(parts);
}

const AdviceSettings *World::adviceSettings(const std::string &step) const
{
    const auto job = m_jobs.find(step.substr(0, step.find('.')));
    for (const auto &queue : m_settings.queues) {
        if (job != m_jobs.end() && queue.name == job->second.queue && queue.advice)
            return &*queue.advice;
    }
    return nullptr;
}

Duration World::adviceTime(const std::string &step, std::size_t workerCount) const
{
    const auto *settings = adviceSettings(step);
    if (settings == nullptr)
        return defaultAdviceTime;
    return settings->decision + settings->perWorker * static_cast<std::int64_t>(workerCount);
}

Duration World::adviceValidity(const std::string &step) const
{
    const auto *settings = adviceSettings(step);
    return settings == nullptr ? defaultAdviceValidity : settings->validity;
}

World::WorkerSlot *World::findWorker(const std::string &id)
{
    const auto entry = std::find_if(m_workers.begin(), m_workers.end(), [&id](const auto &slot) {
        return slot->model->id() == id || slot->formerIds.contains(id);
    });
    return entry == m_workers.end() ? nullptr : entry->get();
}

World::NodeSlot *World::findNode(const std::string &address)
{
    const auto entry = std::find_if(m_nodes.begin(), m_nodes.end(),
                                    [&address](const auto &slot) { return slot->name == address; });
    return entry == m_nodes.end() ? nullptr : entry->get();
}

void World::start(std::uint32_t index)
{
    auto &slot = *m_nodes.at(index);
    if (slot.node)
        return;
    ++slot.generation;
    slot.frozenUntil = TimePoint();
    Node::Settings settings;
    settings.name = slot.name;
    settings.incarnation = slot.generation;
    settings.dataCentre = "z";
    settings.address = slot.name;
    settings.policy = m_settings.policy;
    settings.statusRetention = m_settings.statusRetention;
    if (index < m_settings.weights.size())
        settings.weight = m_settings.weights[index];
    settings.minWorkersForRelay = m_settings.minWorkersForRelay;
    slot.node =
        std::make_unique<Node>(Node::Ports{ *slot.store, *slot.workers, *slot.advice, *slot.peers,
                                            *slot.timers, slot.log, slot.metrics },
                               settings, platform::platformRecords());
    slot.ingress = std::make_unique<platform::Ingress>(*slot.node, *slot.timers, slot.metrics);
    slot.node->start();
}

void World::kill(std::uint32_t index)
{
    auto &slot = *m_nodes.at(index);
    ++slot.generation;
    slot.ingress.reset();
    slot.node.reset();
}

void World::freeze(std::uint32_t index, Duration time)
{
    m_nodes.at(index)->frozenUntil = m_time.now() + time;
}

void World::injectUnexpectedError(std::uint32_t index)
{
    if (auto &slot = *m_nodes.at(index); slot.node)
        slot.node->recover();
}

void World::terminate(std::uint32_t index)
{
    auto &slot = *m_nodes.at(index);
    if (!slot.node)
        return;
    slot.node->shutdown(std::chrono::milliseconds(1500),
                        [this, index, generation = slot.generation] {
                            m_time.after(restartDelay, [this, index, generation] {
                                if (m_nodes.at(index)->generation != generation)
                                    return;
                                kill(index);
                                start(index);
                            });
                        });
}

void World::setStoreFault(std::uint32_t node, StoreFault fault)
{
    m_nodes.at(node)->fault = fault;
}

void World::setStoreFaultForAll(StoreFault fault)
{
    for (auto &slot : m_nodes)
        slot->fault = fault;
    m_store.pauseLeases(fault == StoreFault::Refuse || fault == StoreFault::Silent);
}

void World::cutLink(std::uint32_t from, std::uint32_t to, bool cut)
{
    const auto link = std::pair(m_nodes.at(from)->name, m_nodes.at(to)->name);
    if (cut)
        m_cutLinks.insert(link);
    else
        m_cutLinks.erase(link);
}

void World::cutOff(const std::set<std::uint32_t> &nodes, const std::set<std::uint32_t> &workers,
                   bool cut)
{
    for (std::uint32_t node = 0; node < m_nodes.size(); ++node) {
        const bool inside = nodes.contains(node);
        if (inside)
            setStoreFault(node, cut ? StoreFault::Silent : StoreFault::None);
        for (std::uint32_t other = 0; other < m_nodes.size(); ++other) {
            if (inside != nodes.contains(other))
                cutLink(node, other, cut);
        }
        for (std::uint32_t worker = 0; worker < m_workers.size(); ++worker) {
            if (inside != workers.contains(worker))
                isolateWorkerFrom(node, worker, cut);
        }
    }
    for (const auto worker : workers)
        setWorkerStorePath(*m_workers.at(worker), !cut);
}

std::uint64_t World::configurationOf(std::uint32_t node) const
{
    const auto &slot = *m_nodes.at(node);
    const auto *configuration = slot.node ? slot.node->configuration() : nullptr;
    return configuration == nullptr ? 0 : configuration->version;
}

std::uint64_t World::oldestConfiguration() const
{
    auto oldest = m_version;
    for (std::uint32_t node = 0; node < m_nodes.size(); ++node) {
        if (const auto version = configurationOf(node); version != 0)
            oldest = std::min(oldest, version);
    }
    return oldest;
}

std::optional<std::uint32_t> World::owner() const
{
    const auto item = m_store.read(ownerKey);
    if (!item)
        return std::nullopt;
    const auto name = ownerName(item->value);
    for (std::uint32_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index]->name == name)
            return index;
    }
    return std::nullopt;
}

std::uint64_t World::revision() const
{
    const auto item = m_store.read(ownerKey);
    return item ? item->revision : 0;
}

WorkerModel &World::worker(std::uint32_t index)
{
    return *m_workers.at(index)->model;
}

bool World::alive(std::uint32_t node) const
{
    return m_nodes.at(node)->node != nullptr;
}

std::uint64_t World::callsOf(std::uint32_t node, const std::string &name) const
{
    return counterOf(node, name + ".calls");
}

std::uint64_t World::counterOf(std::uint32_t node, const std::string &name) const
{
    return m_nodes.at(node)->metrics.counter(name);
}

std::string World::logOf(std::uint32_t node) const
{
    return m_nodes.at(node)->log.buffered();
}

} // namespace cowsliprock::standincell
