#include "cluster.h"

#include <kernel/serialization.h>

#include <algorithm>

namespace cowsliprock::test {

namespace {

Cluster *probedCluster = nullptr;
std::size_t probedIndex = 0;

/// Forwards the events raised in a kernel to the cluster.
class ProbeStage : public Stage
{
public:
    void handle(const Event &event, TimePoint, Output &) override
    {
        m_cluster->observe(m_index, event);
    }
    [[nodiscard]] std::string snapshot() const override { return "{}"; }

private:
    Cluster *m_cluster = probedCluster;
    std::size_t m_index = probedIndex;
};

const StageRegistrar registrar(90, "probe", [](const KernelSettings &) {
    return std::make_unique<ProbeStage>();
});

std::string daemonName(std::size_t index)
{
    return "d" + std::to_string(index);
}

} // namespace

Cluster::Cluster(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_daemons(m_options.daemons)
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        auto &daemon = m_daemons[index];
        daemon.identity.name = DaemonName(daemonName(index));
        if (m_options.skewClocks) {
            daemon.rate = std::uniform_real_distribution(0.99, 1.01)(m_random);
            daemon.offset = randomDelay(std::chrono::hours(1));
        }
    }
}

Location Cluster::location(std::size_t index) const
{
    return { "region", "centre" + std::to_string(index % m_options.dataCentres), "rack" };
}

KernelSettings Cluster::settings(std::size_t index) const
{
    KernelSettings result;
    result.self = m_daemons[index].identity;
    result.location = location(index);
    result.partitionsPerDataCentre = m_options.partitions;
    for (std::size_t peer = 0; peer < m_daemons.size(); ++peer) {
        if (peer != index)
            result.peers.push_back({ m_daemons[peer].identity.name, location(peer), {} });
    }
    if (m_options.change)
        m_options.change(result);
    return result;
}

void Cluster::start(std::size_t index)
{
    auto &daemon = m_daemons[index];
    const Faults faults = daemon.faults;
    Daemon newDaemon;
    newDaemon.identity = { daemon.identity.name, ++daemon.lastIncarnation };
    newDaemon.lastIncarnation = daemon.lastIncarnation;
    newDaemon.run = daemon.run + 1;
    newDaemon.rate = daemon.rate;
    newDaemon.offset = daemon.offset;
    newDaemon.networkGroup = daemon.networkGroup;
    newDaemon.faults = faults;
    newDaemon.calls = daemon.calls;
    daemon = std::move(newDaemon);
    recordTrace("start " + daemon.identity.text());
    probedCluster = this;
    probedIndex = index;
    daemon.kernel =
        std::make_unique<Kernel>(settings(index), std::vector<std::string>{ "ownership", "probe" });
    deliver(index, daemon.run, event::Started{});
    tick(index, daemon.run);
}

void Cluster::kill(std::size_t index)
{
    recordTrace("kill " + daemonName(index));
    auto &daemon = m_daemons[index];
    daemon.kernel.reset();
    ++daemon.run;
    daemon.holds.clear();
    daemon.ready = false;
}

void Cluster::pause(std::size_t index, Duration time)
{
    recordTrace("pause " + daemonName(index));
    m_daemons[index].pausedUntil = m_now + time;
}

void Cluster::drain(std::size_t index, bool drained)
{
    m_daemons[index].draining = true;
    inject(index, event::DrainRequested{});
    if (drained) {
        for (auto &[partition, all] : m_tenures) {
            for (auto &tenure : all) {
                if (tenure->daemon == index && tenure->run == m_daemons[index].run)
                    tenure->drainedAt = m_now;
            }
        }
        inject(index, event::StageDrained{ "requests" });
        inject(index, event::StageDrained{ "scheduling" });
    }
}

void Cluster::inject(std::size_t index, const Event &event)
{
    deliver(index, m_daemons[index].run, event);
}

void Cluster::append(std::size_t index, const PartitionId &partition, const std::string &identity,
                     std::uint64_t ticket)
{
    event::JournalAppend request{ ticket, "probe", {} };
    request.entry.partition = partition;
    request.entry.identity = identity;
    request.entry.attempt = AttemptId("attempt-" + std::to_string(ticket));
    request.entry.digest = ticket;
    m_tickets[ticket] = request.entry;
    inject(index, request);
}

void Cluster::setVms(const std::set<std::size_t> &listed)
{
    event::VmList list;
    for (const auto index : listed)
        list.entries.push_back({ daemonName(index), "entry", {}, {}, false });
    for (std::size_t index = 0; index < m_daemons.size(); ++index)
        inject(index, list);
}

void Cluster::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (!m_actions.empty() && m_actions.top().at <= end) {
        const Action action = m_actions.top();
        m_actions.pop();
        m_now = action.at;
        action.run();
    }
    m_now = end;
}

void Cluster::forEach(const std::function<void(Daemon &)> &change)
{
    std::for_each(m_daemons.begin(), m_daemons.end(), change);
}

void Cluster::schedule(Duration delay, std::function<void()> run)
{
    m_actions.push({ m_now + delay, ++m_lastNumber, std::move(run) });
}

void Cluster::tick(std::size_t index, std::uint64_t run)
{
    auto &daemon = m_daemons[index];
    if (daemon.run != run || daemon.exited)
        return;
    if (daemon.pausedUntil <= m_now)
        deliver(index, run, event::Tick{});
    schedule(m_options.tick, [this, index, run] { tick(index, run); });
}

void Cluster::deliver(std::size_t index, std::uint64_t run, const Event &event)
{
    auto &daemon = m_daemons[index];
    if (daemon.run != run || !daemon.kernel || daemon.exited)
        return;
    if (daemon.pausedUntil > m_now) {
        // Events remain queued while the process is paused.
        schedule(daemon.pausedUntil - m_now,
                 [this, index, run, event] { deliver(index, run, event); });
        return;
    }
    if (m_options.trace && !std::holds_alternative<event::Tick>(event))
        recordTrace(daemonName(index) + " < " + encodeTraceLine({ localTime(daemon), event }));
    for (const auto &effect : daemon.kernel->handle(event, localTime(daemon)))
        perform(index, effect);
}

void Cluster::perform(std::size_t index, const Effect &effect)
{
    auto &daemon = m_daemons[index];
    if (m_options.trace && !std::holds_alternative<effect::Count>(effect))
        recordTrace(daemonName(index) + " > " + describeEffect(effect));
    if (const auto *call = std::get_if<effect::StoreCall>(&effect)) {
        callStore(index, *call);
    } else if (const auto *send = std::get_if<effect::SendPeer>(&effect)) {
        sendMessage(index, *send);
    } else if (const auto *ready = std::get_if<effect::SetReady>(&effect)) {
        daemon.ready = ready->ready;
    } else if (const auto *next = std::get_if<effect::SetIncarnation>(&effect)) {
        daemon.identity.incarnation = next->incarnation;
        daemon.lastIncarnation = std::max(daemon.lastIncarnation, next->incarnation);
    } else if (const auto *answer = std::get_if<effect::AnswerOperator>(&effect)) {
        daemon.lastAnswer = answer->body;
    } else if (std::holds_alternative<effect::Exit>(effect)) {
        daemon.exited = true;
        daemon.holds.clear();
    }
}

void Cluster::callStore(std::size_t index, const effect::StoreCall &call)
{
    auto &daemon = m_daemons[index];
    const Faults &faults = daemon.faults;
    const std::uint64_t run = daemon.run;
    const bool isWrite = call.operation == effect::StoreCall::Operation::CompareAndSwap;
    ++daemon.calls[isWrite ? "put" : "get"];
    event::StoreReply lost;
    lost.call = call.call;
    const Duration delay = randomDelay(faults.maxStoreDelay);
    const bool late = isWrite && randomBool(faults.lateWrites);
    if (late)
        schedule(randomDelay(faults.maxLateness), [this, call] {
            recordTrace("late write " + call.key + " " + call.value);
            static_cast<void>(m_store.perform(call));
        });
    schedule(delay / 2, [this, index, run, call, lost, delay, late] {
        const Faults &current = m_daemons[index].faults;
        auto reply = late || current.storeDown ? lost : m_store.perform(call);
        if (randomBool(current.loseReplies))
            reply = lost;
        schedule(delay / 2, [this, index, run, reply] { deliver(index, run, reply); });
    });
}

void Cluster::sendMessage(std::size_t index, const effect::SendPeer &send)
{
    const auto &from = m_daemons[index];
    const auto to = static_cast<std::size_t>(std::stoul(send.to.value().substr(1)));
    const event::PeerMessage message{ from.identity, send.message };
    if (randomBool(std::max(from.faults.loseMessages, m_daemons[to].faults.loseMessages)))
        return;
    schedule(randomDelay(from.faults.maxMessageDelay), [this, index, to, message] {
        if (m_daemons[index].networkGroup == m_daemons[to].networkGroup)
            deliver(to, m_daemons[to].run, message);
    });
}

void Cluster::violation(const std::string &text)
{
    recordTrace("VIOLATION " + text);
    m_violations.push_back(text);
}

void Cluster::recordTrace(const std::string &text)
{
    if (m_options.trace)
        m_trace.push_back(std::to_string(Seconds(m_now.time_since_epoch()).count()) + " " + text);
}

std::vector<PartitionId> Cluster::usablePartitions(std::size_t index) const
{
    std::vector<PartitionId> result;
    for (const auto &[partition, tenure] : m_daemons[index].holds) {
        if (m_now >= tenure->usableFrom && m_now < m_daemons[index].validUntil)
            result.push_back(partition);
    }
    return result;
}

std::size_t Cluster::usableCount() const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < m_daemons.size(); ++index)
        count += usablePartitions(index).size();
    return count;
}

std::size_t Cluster::tenureCount() const
{
    std::size_t count = 0;
    for (const auto &[partition, tenures] : m_tenures)
        count += tenures.size();
    return count;
}

TimePoint Cluster::localTime(const Daemon &daemon) const
{
    const double scaled = static_cast<double>(m_now.time_since_epoch().count()) * daemon.rate;
    return TimePoint(Duration(static_cast<std::int64_t>(scaled)) + daemon.offset);
}

TimePoint Cluster::trueTime(const Daemon &daemon, TimePoint local) const
{
    const auto scaled = static_cast<double>((local.time_since_epoch() - daemon.offset).count());
    return TimePoint(Duration(static_cast<std::int64_t>(scaled / daemon.rate)));
}

Duration Cluster::randomDelay(Duration max)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(0, max.count())(m_random));
}

bool Cluster::randomBool(double probability)
{
    return probability > 0 && std::bernoulli_distribution(probability)(m_random);
}

} // namespace cowsliprock::test
