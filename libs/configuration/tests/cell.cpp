#include "cell.h"

#include <kernel/serialization.h>

#include <nlohmann/json.hpp>

#include <stdexcept>

using namespace cowsliprock;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr Duration propagationLimit = 6s;

/// Latest configuration raised by each kernel, by daemon identity.
std::map<std::string, ConfigurationPointer> &inForceByDaemon()
{
    static std::map<std::string, ConfigurationPointer> configurations;
    return configurations;
}

class ProbeStage : public Stage
{
public:
    explicit ProbeStage(const KernelSettings &settings)
        : m_self(settings.self.text())
    { }
    void handle(const Event &event, TimePoint, Output &) override
    {
        if (const auto *inForce = std::get_if<event::ConfigurationInForce>(&event))
            inForceByDaemon()[m_self] = inForce->configuration;
    }
    [[nodiscard]] std::string snapshot() const override { return "{}"; }

private:
    std::string m_self;
};

const StageRegistrar registrar(99, "probe", [](const KernelSettings &settings) {
    return std::make_unique<ProbeStage>(settings);
});

/// Identifies the change that produced a configuration: each change sets a unique quota.
[[nodiscard]] std::int64_t marker(const Configuration &configuration)
{
    return configuration.teams.empty() ? 0 : configuration.teams.front().quota.cpuMillis;
}

} // namespace

Cell::Cell(std::uint64_t seed, Faults faults)
    : m_random(seed)
    , m_faults(faults)
    , m_daemons(daemonCount)
{
    inForceByDaemon().clear();
    m_store.onWrite = [this](const std::string &key, const FakeStore::Row &row) {
        if (key == "/configuration/current")
            onStoredWrite(row);
    };
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        restart(daemon);
        schedule(randomDuration(0, 50), [this, daemon] { tick(daemon); });
    }
    schedule(1s, [this] { injectFault(); });
}

KernelSettings Cell::settings(std::size_t daemon) const
{
    KernelSettings result;
    const auto location = [](std::size_t of) {
        return Location{ "region" + std::to_string(region(of)), "dc", {} };
    };
    result.self = { DaemonName("daemon" + std::to_string(daemon)), m_daemons[daemon].incarnation };
    result.location = location(daemon);
    for (std::size_t peer = 0; peer < daemonCount; ++peer) {
        if (peer != daemon)
            result.peers.push_back(
                { DaemonName("daemon" + std::to_string(peer)), location(peer), {} });
    }
    return result;
}

bool Cell::randomChance(double probability)
{
    return std::uniform_real_distribution<double>()(m_random) < probability;
}

Duration Cell::randomDuration(int lowMs, int highMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(lowMs, highMs)(m_random));
}

void Cell::schedule(Duration delay, std::function<void()> action)
{
    m_schedule.push({ m_now + delay, ++m_actionCount, std::move(action) });
}

void Cell::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (!m_schedule.empty() && m_schedule.top().at <= end) {
        const auto action = m_schedule.top().action;
        m_now = m_schedule.top().at;
        m_schedule.pop();
        action();
    }
    m_now = end;
}

void Cell::heal()
{
    m_faults = {};
    m_storeDown = false;
    m_staleRows.reset();
    m_isolatedRegion = -1;
    m_lastFault = m_now;
}

void Cell::restart(std::size_t daemon)
{
    Daemon &state = m_daemons[daemon];
    ++state.incarnation;
    state.kernel = std::make_unique<Kernel>(settings(daemon),
                                            std::vector<std::string>{ "configuration", "probe" });
    state.startedAt = m_now;
    state.version = 0;
    state.lastHeartbeats.clear();
    deliver(daemon, event::Started{});
}

void Cell::deliver(std::size_t daemon, std::uint64_t incarnation, const Event &event)
{
    if (m_daemons[daemon].incarnation == incarnation)
        deliver(daemon, event);
}

void Cell::deliver(std::size_t daemon, const Event &event)
{
    const auto effects = m_daemons[daemon].kernel->handle(event, m_now);
    const DaemonIdentity self{ DaemonName("daemon" + std::to_string(daemon)),
                               m_daemons[daemon].incarnation };
    if (const auto &inForce = inForceByDaemon()[self.text()])
        checkInForce(daemon, *inForce);
    // Only these events change the version that the stage holds and returns to peers and operators.
    if (std::holds_alternative<event::StoreReply>(event)
        || std::holds_alternative<event::PeerMessage>(event)) {
        const json held = json::parse(m_daemons[daemon].kernel->snapshots().at("configuration"));
        if (held.at("version") < m_daemons[daemon].version)
            throw std::runtime_error("held version decreased on daemon " + std::to_string(daemon));
    }
    for (const Effect &effect : effects)
        perform(daemon, effect);
}

void Cell::perform(std::size_t daemon, const Effect &effect)
{
    if (const auto *call = std::get_if<effect::StoreCall>(&effect))
        storeCall(daemon, *call);
    else if (const auto *message = std::get_if<effect::SendPeer>(&effect))
        send(daemon, *message);
    else if (const auto *answered = std::get_if<effect::AnswerOperator>(&effect))
        operatorAnswered(answered->operation.value(), { answered->httpStatus, answered->body });
}

void Cell::storeCall(std::size_t daemon, const effect::StoreCall &call)
{
    const std::uint64_t incarnation = m_daemons[daemon].incarnation;
    m_daemons[daemon].bytes += call.key.size() + call.value.size();
    const auto answer = [=, this](event::StoreReply reply) {
        if (randomChance(m_faults.replyLoss)) {
            reply = { call.call, event::StoreStatus::Unavailable, 0, {}, {}, {} };
            schedule(randomDuration(500, 6000), [=, this] { deliver(daemon, incarnation, reply); });
            return;
        }
        m_daemons[daemon].bytes += reply.value.size();
        schedule(randomDuration(1, 20), [=, this] { deliver(daemon, incarnation, reply); });
    };
    const event::StoreReply unavailable{
        call.call, event::StoreStatus::Unavailable, 0, {}, {}, {}
    };
    const bool write = call.operation == effect::StoreCall::Operation::CompareAndSwap;
    const bool unreachable = m_storeDown || m_isolatedRegion == static_cast<int>(region(daemon));
    if (unreachable || (m_staleRows && write)) {
        schedule(randomDuration(1, 1000), [=, this] { deliver(daemon, incarnation, unavailable); });
    } else if (m_staleRows && call.operation == effect::StoreCall::Operation::Get) {
        // Stale reads are slow, so that peers often report a newer version first.
        schedule(randomDuration(1, 3000),
                 [=, reply = FakeStore::read(call, *m_staleRows)] { answer(reply); });
    } else if (write && m_faults.outages && randomChance(0.05)) {
        // The client times out before the write takes effect.
        schedule(100ms, [=, this] { deliver(daemon, incarnation, unavailable); });
        schedule(randomDuration(200, 3000),
                 [=, this] { m_store.perform(call, [](const auto &) {}); });
    } else {
        schedule(randomDuration(1, 20), [=, this] {
            const std::uint64_t before = m_storedVersion;
            m_store.perform(call, answer);
            // The writer fails after the commit, before any daemon has learned of it.
            if (m_storedVersion != before && m_faults.restarts && randomChance(0.3))
                restart(daemon);
        });
    }
}

void Cell::send(std::size_t daemon, const effect::SendPeer &message)
{
    const std::size_t to = std::stoul(message.to.value().substr(6));
    const DaemonIdentity from{ DaemonName("daemon" + std::to_string(daemon)),
                               m_daemons[daemon].incarnation };
    const std::size_t size = encodeMessage({ from, message.message }).size();
    m_daemons[daemon].bytes += size;
    const bool crossRegion = region(daemon) != region(to);
    const bool blocked = crossRegion && m_isolatedRegion >= 0
        && (m_isolatedRegion == static_cast<int>(region(daemon))
            || m_isolatedRegion == static_cast<int>(region(to)));
    if (blocked || randomChance(m_faults.messageLoss))
        return;
    schedule(crossRegion ? randomDuration(20, 30) : randomDuration(1, 2),
             [=, this, body = message.message] {
                 m_daemons[to].bytes += size;
                 deliver(to, event::PeerMessage{ from, body });
             });
}

void Cell::tick(std::size_t daemon)
{
    Daemon &state = m_daemons[daemon];
    deliver(daemon, event::Tick{});
    const auto ticks = static_cast<std::uint64_t>(m_now.time_since_epoch() / 50ms);
    const std::size_t offset = daemon * 7;
    if ((ticks + offset) % 7 == 0) // One heartbeat to a peer of the region every 350 ms.
        heartbeat(daemon, region(daemon) * 3 + (daemon % 3 + 1 + ticks / 7 % 2) % 3);
    if ((ticks + offset) % 100 == 0) { // One to each other region every 5 s.
        for (std::size_t other = 1; other < 3; ++other)
            heartbeat(daemon, (region(daemon) + other) % 3 * 3 + ticks / 100 % 3);
    }
    for (auto entry = state.lastHeartbeats.begin(); entry != state.lastHeartbeats.end();) {
        const auto &[peer, at] = *entry;
        if (m_now - at < (region(peer) == region(daemon) ? Duration(5s) : Duration(15s))) {
            ++entry;
            continue;
        }
        event::PeerStatus status;
        status.peer.name = DaemonName("daemon" + std::to_string(peer));
        status.alive = false;
        entry = state.lastHeartbeats.erase(entry);
        deliver(daemon, status);
    }
    schedule(50ms, [this, daemon] { tick(daemon); });
}

void Cell::heartbeat(std::size_t from, std::size_t to)
{
    const bool crossRegion = region(from) != region(to);
    const bool blocked = crossRegion && m_isolatedRegion >= 0
        && (m_isolatedRegion == static_cast<int>(region(from))
            || m_isolatedRegion == static_cast<int>(region(to)));
    if (blocked || randomChance(m_faults.messageLoss))
        return;
    event::PeerStatus status;
    status.peer = settings(from).self;
    status.location = settings(from).location;
    status.configurationVersion = m_daemons[from].version;
    schedule(crossRegion ? randomDuration(20, 30) : randomDuration(1, 2), [=, this] {
        m_daemons[to].lastHeartbeats[from] = m_now;
        deliver(to, status);
    });
}

void Cell::injectFault()
{
    if (m_faults.restarts && randomChance(0.25))
        restart(m_random() % daemonCount);
    if (m_faults.outages) {
        const bool wasHealthy = !m_storeDown && !m_staleRows && m_isolatedRegion < 0;
        if (wasHealthy && randomChance(0.1)) {
            m_lastFault = m_now;
            const auto kind = m_random() % 3;
            m_storeDown = kind == 0;
            if (kind == 1)
                m_staleRows = std::make_unique<FakeStore::Rows>(m_store.rows());
            m_isolatedRegion = kind == 2 ? static_cast<int>(m_random() % 3) : -1;
            m_store.endWatches(true);
        } else if (!wasHealthy && randomChance(0.2)) {
            m_lastFault = m_now;
            m_storeDown = false;
            m_staleRows.reset();
            m_isolatedRegion = -1;
        }
        if (!wasHealthy)
            m_lastFault = m_now;
    }
    if (m_now.time_since_epoch() / 1s % 30 == 0)
        m_store.endWatches(false);
    schedule(1s, [this] { injectFault(); });
}

std::string Cell::call(std::size_t daemon, const std::string &action, const std::string &body)
{
    std::string operation = "operation-" + std::to_string(++m_operationCount);
    deliver(daemon, event::OperatorCall{ OperationId(operation), action, body });
    return operation;
}

const Cell::Answer *Cell::answer(const std::string &operation) const
{
    const auto found = m_answers.find(operation);
    return found != m_answers.end() ? &found->second : nullptr;
}

void Cell::change(std::size_t daemon)
{
    const auto operation = "operation-" + std::to_string(m_operationCount + 1);
    m_pendingReads[operation] = daemon;
    call(daemon, "configuration", "");
}

void Cell::operatorAnswered(const std::string &operation, const Answer &answer)
{
    m_answers[operation] = answer;
    if (const auto reader = m_pendingReads.find(operation); reader != m_pendingReads.end()) {
        json body = json::parse(answer.body);
        if (body["version"] < m_daemons[reader->second].version)
            throw std::runtime_error("an operator read an older version than the one in force");
        json &document = body["document"];
        const auto changeMarker = static_cast<std::int64_t>(m_operationCount) + 1000;
        if (!document.contains("teams"))
            document["teams"] = json::array({ { { "name", "team-0" } } });
        document["teams"][0]["quota"] = { { "cpuMillis", changeMarker }, { "memoryMb", 1 } };
        const std::string request =
            json{ { "baseVersion", body["version"] }, { "document", document } }.dump();
        schedule(randomDuration(0, 300), [=, this, daemon = reader->second] {
            m_markers["operation-" + std::to_string(m_operationCount + 1)] = changeMarker;
            call(daemon, "configurationApply", request);
        });
        return;
    }
    const auto applied = m_markers.find(operation);
    if (applied == m_markers.end())
        return;
    const json body = json::parse(answer.body);
    if (answer.status == 200) {
        const auto [known, added] =
            m_markerOfVersion.emplace(body.at("version").get<std::uint64_t>(), applied->second);
        if (!added)
            throw std::runtime_error("two changes were accepted as one version");
    } else if (answer.status == 409 || body.value("outcome", "") == "not-run") {
        m_conflicts += answer.status == 409 ? 1 : 0;
        m_refusedMarkers[applied->second] = operation;
        for (const auto &[version, inForceMarker] : m_markerInForce) {
            if (inForceMarker == applied->second)
                throw std::runtime_error("a change that is in force was answered as not applied");
        }
    }
}

void Cell::onStoredWrite(const FakeStore::Row &row)
{
    m_storedVersion = json::parse(row.value).at("version").get<std::uint64_t>();
    schedule(propagationLimit,
             [this, at = m_now, accepted = m_storedVersion] { checkPropagation(at, accepted); });
}

void Cell::checkInForce(std::size_t daemon, const Configuration &configuration)
{
    Daemon &state = m_daemons[daemon];
    if (configuration.version < state.version)
        throw std::runtime_error("version in force decreased on daemon " + std::to_string(daemon));
    if (configuration.version == state.version)
        return;
    state.version = configuration.version;
    const std::int64_t inForceMarker = marker(configuration);
    if (configuration.version > m_storedVersion)
        throw std::runtime_error("a version is in force that was never accepted");
    if (m_refusedMarkers.contains(inForceMarker))
        throw std::runtime_error("a change answered as not applied is in force");
    const auto [known, added] = m_markerInForce.emplace(configuration.version, inForceMarker);
    if (!added && known->second != inForceMarker)
        throw std::runtime_error("two documents share one version");
    const auto answered = m_markerOfVersion.find(configuration.version);
    if (answered != m_markerOfVersion.end() && answered->second != inForceMarker)
        throw std::runtime_error("the document in force differs from the accepted one");
}

void Cell::checkPropagation(TimePoint acceptedAt, std::uint64_t accepted) const
{
    // Propagation is not bounded during an outage, so only fault-free periods are checked.
    if (m_lastFault >= acceptedAt)
        return;
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        const bool started = m_now - m_daemons[daemon].startedAt > 2s;
        if (started && m_daemons[daemon].version < accepted)
            throw std::runtime_error("version " + std::to_string(accepted)
                                     + " is not in force on daemon " + std::to_string(daemon)
                                     + " after 6 s");
    }
}

void Cell::checkConverged() const
{
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        if (m_daemons[daemon].version != m_storedVersion)
            throw std::runtime_error("daemon " + std::to_string(daemon) + " has version "
                                     + std::to_string(m_daemons[daemon].version) + ", the store "
                                     + std::to_string(m_storedVersion));
    }
}

void Cell::resetBytes()
{
    for (Daemon &daemon : m_daemons)
        daemon.bytes = 0;
}
