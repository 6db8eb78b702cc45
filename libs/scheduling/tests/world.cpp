#include "world.h"

#include <kernel/serialization.h>

#include <algorithm>

namespace cowsliprock::test {

using namespace std::chrono_literals;

namespace {

/// Events raised by stages while a kernel handles an event.
std::vector<Event> raisedEvents;

/// Records the requests of the scheduling stage for the fake ownership.
class RecorderStage : public Stage
{
public:
    void handle(const Event &event, TimePoint, Output &) override
    {
        if (std::holds_alternative<event::JournalAppend>(event)
            || std::holds_alternative<event::LoadChanged>(event)
            || std::holds_alternative<event::StageDrained>(event))
            raisedEvents.push_back(event);
    }
    [[nodiscard]] std::string snapshot() const override { return "{}"; }
};

const StageRegistrar recorderRegistrar(1, "recorder", [](const KernelSettings &) {
    return std::make_unique<RecorderStage>();
});

constexpr const char *region = "noord";
constexpr std::size_t maximumTraceLines = 4'000;

std::string daemonName(std::size_t node)
{
    return "daemon-" + std::to_string(node);
}

} // namespace

World::World(const Options &options)
    : m_options(options)
    , m_random(options.seed)
    , m_nodes(static_cast<std::size_t>(options.daemons))
{
    for (int number = 0; number < options.workers; ++number) {
        const WorkerName name = workerName(number);
        m_workers[name];
        m_vms.push_back(
            { name.value(), "worker", name.value() + ":1", { region, region, "r1" }, false });
    }
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        restart(node);
    for (std::uint32_t number = 0; number < options.partitions; ++number) {
        const PartitionId partition(std::string(region) + "/" + std::to_string(number));
        assignPartition(partition, number % m_nodes.size(), m_now);
    }
    publishOwners();
    renew();
    at(m_now + 2s, [this] { publishVms(); });
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        at(m_now + 50ms, [this, node] { deliver(node, event::Tick{}); });
}

WorkerName World::workerName(int number)
{
    return WorkerName("worker-" + std::to_string(number));
}

bool World::occurs(double share)
{
    return static_cast<double>(m_random() % 100'000) < share * 100'000;
}

Duration World::randomBetween(Duration low, Duration high)
{
    return low
        + Duration(static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>((high - low).count() + 1)));
}

void World::at(TimePoint time, std::function<void()> action)
{
    m_actions.emplace(time, std::move(action));
}

void World::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        const auto first = m_actions.begin();
        m_now = std::max(m_now, first->first);
        const auto action = std::move(first->second);
        m_actions.erase(first);
        action();
    }
    m_now = end;
}

void World::violation(const std::string &text)
{
    m_violations.push_back(std::to_string(m_now.time_since_epoch().count()) + ": " + text);
    m_trace.push_back("VIOLATION " + m_violations.back());
}

std::string World::trace() const
{
    std::string result;
    const std::size_t first =
        m_trace.size() > maximumTraceLines ? m_trace.size() - maximumTraceLines : 0;
    for (std::size_t line = first; line < m_trace.size(); ++line)
        result += m_trace[line] + "\n";
    return result;
}

void World::restart(std::size_t node)
{
    Node &state = m_nodes[node];
    KernelSettings settings;
    settings.self = { DaemonName(daemonName(node)), state.settings.self.incarnation + 1 };
    settings.location = { region, region, "r1" };
    settings.partitionsPerDataCentre = m_options.partitions;
    settings.randomSeed = m_options.seed;
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (other != node)
            settings.peers.push_back({ DaemonName(daemonName(other)), settings.location, {} });
    }
    state.settings = settings;
    state.kernel =
        std::make_unique<Kernel>(settings, std::vector<std::string>{ "recorder", "scheduling" });
    state.waiting.clear();
    deliver(node, event::Started{});
    deliver(node, event::VmList{ m_vms });
    if (m_configuration)
        deliver(node, event::ConfigurationInForce{ m_configuration });
}

void World::setConfiguration(Configuration configuration)
{
    m_configuration = std::make_shared<const Configuration>(std::move(configuration));
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        deliver(node, event::ConfigurationInForce{ m_configuration });
}

void World::assignPartition(const PartitionId &partition, std::size_t node, TimePoint usableFrom)
{
    PartitionState &state = m_partitions[partition];
    state.owner = node;
    ++state.epoch;
    deliver(node, event::PartitionAcquired{ partition, state.epoch, usableFrom, state.journal });
}

void World::publishOwners()
{
    event::OwnersChanged changed;
    for (const auto &[partition, state] : m_partitions)
        changed.owners[partition] = m_nodes[state.owner].settings.self;
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        at(m_now + randomBetween(0ms, 300ms), [this, node, changed] { deliver(node, changed); });
}

void World::publishVms()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        deliver(node, event::VmList{ m_vms });
    at(m_now + 2s, [this] { publishVms(); });
}

void World::renew()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (m_nodes[node].paused)
            continue;
        m_nodes[node].validUntil = m_now + 5s;
        deliver(node, event::ValidityChanged{ m_now + 5s, !storeDown });
    }
    at(m_now + 2s, [this] { renew(); });
}

void World::pause(int daemon)
{
    const auto node = static_cast<std::size_t>(daemon);
    m_nodes[node].paused = true;
    // Take-over happens 7 s after the last renewal: 5 s validity and 2 s of unchanged reads.
    at(m_nodes[node].validUntil + 2s, [this, node, until = m_nodes[node].validUntil] {
        if (m_nodes[node].paused && m_nodes[node].validUntil == until)
            reassignPartitions(node);
    });
}

void World::reassignPartitions(std::size_t node)
{
    std::vector<std::size_t> healthy;
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (!m_nodes[other].paused)
            healthy.push_back(other);
    }
    if (healthy.empty())
        return;
    for (auto &[partition, state] : m_partitions) {
        if (state.owner == node)
            assignPartition(partition, healthy[m_random() % healthy.size()],
                            m_nodes[node].validUntil + 8s);
    }
    publishOwners();
    for (const std::size_t other : healthy)
        deliver(other,
                event::PeerStatus{ m_nodes[node].settings.self,
                                   m_nodes[node].settings.location,
                                   false,
                                   false,
                                   0,
                                   {} });
}

void World::drain(int daemon)
{
    deliver(static_cast<std::size_t>(daemon), event::DrainRequested{});
}

void World::transferPartitions(std::size_t node)
{
    for (auto &[partition, state] : m_partitions) {
        if (state.owner != node)
            continue;
        deliver(node, event::PartitionLost{ partition });
        assignPartition(partition, (node + 1 + m_random() % (m_nodes.size() - 1)) % m_nodes.size(),
                        m_now);
    }
    publishOwners();
    restart(node);
}

void World::resume(int daemon)
{
    const auto node = static_cast<std::size_t>(daemon);
    m_nodes[node].paused = false;
    for (const auto &event : std::exchange(m_nodes[node].waiting, {}))
        deliver(node, event);
    const bool ownsAny = std::any_of(m_partitions.begin(), m_partitions.end(),
                                     [&](const auto &entry) { return entry.second.owner == node; });
    if (!ownsAny)
        restart(node);
    publishOwners();
}

void World::endVm(int number)
{
    const WorkerName name = workerName(number);
    std::erase_if(m_vms, [&](const VmEntry &entry) { return entry.name == name.value(); });
    m_workers.erase(name);
}

void World::setLeaving(int number)
{
    for (auto &entry : m_vms) {
        if (entry.name == workerName(number).value())
            entry.leaving = true;
    }
}

void World::deliver(std::size_t node, const Event &event)
{
    Node &state = m_nodes[node];
    if (std::holds_alternative<event::Tick>(event))
        at(m_now + 50ms, [this, node] { deliver(node, event::Tick{}); });
    if (state.paused) {
        // The fake ownership signals the loss of partitions by a restart.
        if (!std::holds_alternative<event::Tick>(event) || state.waiting.empty())
            state.waiting.push_back(event);
        return;
    }
    raisedEvents.clear();
    const auto effects = state.kernel->handle(event, m_now);
    const auto events = std::exchange(raisedEvents, {});
    for (const auto &effect : effects) {
        const bool metricsOnly = std::holds_alternative<effect::Count>(effect)
            || std::holds_alternative<effect::Observe>(effect);
        if (!metricsOnly)
            m_trace.push_back(std::to_string(m_now.time_since_epoch().count()) + " "
                              + daemonName(node) + " " + describeEffect(effect));
        perform(node, effect);
    }
    for (const auto &raisedEvent : events)
        handleRaised(node, raisedEvent);
}

void World::handleRaised(std::size_t node, const Event &event)
{
    if (const auto *append = std::get_if<event::JournalAppend>(&event)) {
        journal(node, *append);
    } else if (std::holds_alternative<event::StageDrained>(event)) {
        at(m_now, [this, node] { transferPartitions(node); });
    } else if (const auto *load = std::get_if<event::LoadChanged>(&event)) {
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other == node || occurs(faults.lostMessages))
                continue;
            const event::PeerStatus status{ m_nodes[node].settings.self,
                                            m_nodes[node].settings.location,
                                            true,
                                            false,
                                            0,
                                            load->load };
            at(m_now + randomBetween(100ms, 900ms),
               [this, other, status] { deliver(other, status); });
        }
    }
}

void World::journal(std::size_t node, const event::JournalAppend &append)
{
    const auto incarnation = m_nodes[node].settings.self.incarnation;
    at(m_now + randomBetween(5ms, 250ms), [this, node, append, incarnation] {
        PartitionState &partition = m_partitions[append.entry.partition];
        const bool current = m_nodes[node].settings.self.incarnation == incarnation;
        const bool durable =
            partition.owner == node && current && !storeDown && !occurs(faults.refusedJournal);
        if (durable)
            partition.journal.push_back(append.entry);
        if (current)
            deliver(node, event::JournalResult{ append.ticket, append.stage, durable });
    });
}

void World::perform(std::size_t node, const Effect &effect)
{
    std::visit(
        [&](const auto &value) {
            ++m_effects[std::decay_t<decltype(value)>::name];
            on(node, value);
        },
        effect);
}

} // namespace cowsliprock::test
