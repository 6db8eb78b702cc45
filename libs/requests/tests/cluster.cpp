#include "cluster.h"

#include <kernel/serialization.h>

#include <stdexcept>

namespace cowsliprock::testing {

using namespace std::chrono_literals;

namespace {

constexpr Duration tick = 50ms;
constexpr Duration renewal = 2s;
constexpr Duration validity = 5s;
constexpr Duration quarantine = 3s;

/// Events raised by the kernels, keyed by daemon.
std::map<DaemonName, std::vector<Event>> raisedEvents;

/// Records the events that the stage under test raises.
class Probe : public Stage
{
public:
    explicit Probe(const KernelSettings &settings)
        : m_name(settings.self.name)
    { }
    void handle(const Event &event, TimePoint, Output &) override
    {
        if (std::holds_alternative<event::JournalAppend>(event)
            || std::holds_alternative<event::LoadChanged>(event)
            || std::holds_alternative<event::StageDrained>(event))
            raisedEvents[m_name].push_back(event);
    }
    [[nodiscard]] std::string snapshot() const override { return "{}"; }

private:
    DaemonName m_name;
};

const StageRegistrar registrar(99, "probe", [](const KernelSettings &settings) {
    return std::make_unique<Probe>(settings);
});

[[nodiscard]] Location locationOf(std::size_t region)
{
    const std::string name = "region" + std::to_string(region);
    return { name, "dc" + std::to_string(region), "r1" };
}

} // namespace

Cluster::Cluster(const ClusterOptions &options)
    : m_options(options)
    , m_random(options.seed)
{
    raisedEvents.clear();
    m_daemons.resize(std::size_t(options.regions) * options.daemonsPerRegion);
    for (std::size_t region = 0; region < options.regions; ++region) {
        const Location location = locationOf(region);
        for (std::uint32_t index = 0; index < options.workersPerRegion; ++index) {
            VmEntry vm{
                "w" + std::to_string(region) + std::to_string(index), "worker", {}, location, false
            };
            vm.address = vm.name + ":80";
            const auto partition = partitionOf(vm.name, location.dataCentre, options.partitions);
            m_endpoints[vm.address] = { vm, partition, {} };
        }
        for (std::uint32_t index = 0; index < options.partitions; ++index) {
            const PartitionId id(location.dataCentre + "/" + std::to_string(index));
            m_partitions[id].owner =
                region * options.daemonsPerRegion + index % options.daemonsPerRegion;
        }
    }
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
        createDaemon(daemon, 1);
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
        startDaemon(daemon);
    for (const auto &[id, partition] : std::map(m_partitions))
        acquire(id, partition.owner, 0s);
    renewValidity();
    pollWorkers();
    after(1ms, [this] { tickDaemons(); });
    run(1500ms);
}

void Cluster::createDaemon(std::size_t daemon, std::uint64_t incarnation)
{
    Daemon &created = m_daemons[daemon];
    KernelSettings settings;
    settings.self = { DaemonName("d" + std::to_string(daemon)), incarnation };
    settings.location = locationOf(daemon / m_options.daemonsPerRegion);
    for (std::size_t other = 0; other < m_daemons.size(); ++other) {
        if (other != daemon)
            settings.peers.push_back({ DaemonName("d" + std::to_string(other)),
                                       locationOf(other / m_options.daemonsPerRegion),
                                       {} });
    }
    settings.randomSeed = random(1'000'000);
    settings.partitionsPerDataCentre = m_options.partitions;
    settings.answerCacheEntries = m_options.answerCacheEntries;
    const std::uint64_t lastBody = created.lastBody;
    created = Daemon{};
    created.settings = settings;
    created.lastBody = lastBody;
    created.kernel =
        std::make_unique<Kernel>(settings, std::vector<std::string>{ "requests", "probe" });
}

void Cluster::startDaemon(std::size_t daemon)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->services.push_back(m_options.service);
    configuration->callers.push_back({ "home1", "region1" });
    handle(daemon, event::Started{});
    handle(daemon, event::ConfigurationInForce{ configuration });
    event::VmList list;
    for (const auto &[address, endpoint] : m_endpoints)
        list.entries.push_back(endpoint.vm);
    handle(daemon, list);
    publishOwners();
}

std::uint64_t Cluster::random(std::uint64_t bound)
{
    return m_random() % bound;
}

void Cluster::after(Duration delay, Action action)
{
    m_actions.emplace(m_now + delay, std::move(action));
}

void Cluster::run(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        auto node = m_actions.extract(m_actions.begin());
        m_now = node.key();
        node.mapped()();
    }
    m_now = end;
}

std::size_t Cluster::request(std::size_t daemon, RequestProfile profile, const std::string &content)
{
    profile.service = profile.service.empty() ? m_options.service.name : profile.service;
    profile.digest = stableHash(content);
    const std::size_t index = m_requests.size();
    m_requests.push_back(
        { daemon, content, profile, m_now, m_now + profile.timeLeft, 0, {}, {}, false });
    Daemon &entry = m_daemons[daemon];
    const BodyKey body(entry.settings.self.text() + "/b" + std::to_string(++entry.lastBody));
    entry.bodies[body] = content;
    handle(daemon, event::RequestArrived{ RequestId(std::to_string(index)), profile, body });
    return index;
}

void Cluster::handle(std::size_t daemon, const Event &event)
{
    Daemon &target = m_daemons[daemon];
    if (target.paused) {
        target.deferredActions.push_back([=, this] { handle(daemon, event); });
        return;
    }
    if (m_options.trace && !std::holds_alternative<event::Tick>(event)
        && !std::holds_alternative<event::PeerStatus>(event)
        && !std::holds_alternative<event::ConfigurationInForce>(event)
        && !std::holds_alternative<event::VmList>(event))
        recordTrace(daemon, "<- " + encodeTraceLine({ m_now, event }));
    const auto effects = target.kernel->handle(event, m_now);
    for (const auto &effect : effects)
        perform(daemon, effect);
    for (const auto &next : std::exchange(raisedEvents[target.settings.self.name], {}))
        handleRaised(daemon, next);
    checkRequests();
}

void Cluster::perform(std::size_t daemon, const Effect &effect)
{
    if (m_options.trace && !std::holds_alternative<effect::Count>(effect)
        && !std::holds_alternative<effect::Observe>(effect))
        recordTrace(daemon, "-> " + describeEffect(effect));
    std::visit([&](const auto &alternative) { performEffect(daemon, alternative); }, effect);
}

std::string Cluster::bodyContent(std::size_t daemon, const BodyKey &key) const
{
    const auto &bodies = m_daemons[daemon].bodies;
    const auto found = bodies.find(key);
    if (found == bodies.end())
        fail("body " + key.value() + " was used after its release");
    return found->second;
}

void Cluster::performEffect(std::size_t daemon, const effect::SendPeer &send)
{
    ++m_messages;
    Message message = send.message;
    if (auto *dispatch = std::get_if<message::Dispatch>(&message))
        dispatch->body = bodyContent(daemon, dispatch->bodyKey);
    if (auto *forward = std::get_if<message::Forward>(&message))
        forward->body = bodyContent(daemon, forward->bodyKey);
    if (auto *response = std::get_if<message::DispatchReply>(&message);
        response && !response->answer.body.empty())
        response->body = bodyContent(daemon, response->answer.body);
    if (auto *response = std::get_if<message::ForwardReply>(&message);
        response && !response->answer.body.empty())
        response->body = bodyContent(daemon, response->answer.body);
    std::size_t to = 0;
    while (m_daemons[to].settings.self.name != send.to)
        ++to;
    const DaemonIdentity from = m_daemons[daemon].settings.self;
    std::uint32_t copies = chance(m_options.faults.lostMessages) ? 0 : 1;
    copies += chance(m_options.faults.duplicatedMessages) ? 1 : 0;
    for (; copies > 0; --copies) {
        Duration delay(500 + static_cast<std::int64_t>(random(2000)));
        if (chance(m_options.faults.delayedMessages))
            delay += Duration(static_cast<std::int64_t>(random(2'000'000)));
        after(delay, [=, this] { deliver(to, from, message); });
    }
}

void Cluster::deliver(std::size_t to, const DaemonIdentity &from, Message message)
{
    if (m_daemons[to].paused) {
        m_daemons[to].deferredActions.push_back([=, this] { deliver(to, from, message); });
        return;
    }
    auto &bodies = m_daemons[to].bodies;
    const auto store = [&](const BodyKey &key, std::string &body) {
        if (!key.empty())
            bodies[key] = std::exchange(body, {});
    };
    if (auto *dispatch = std::get_if<message::Dispatch>(&message))
        store(dispatch->bodyKey, dispatch->body);
    if (auto *forward = std::get_if<message::Forward>(&message))
        store(forward->bodyKey, forward->body);
    if (auto *response = std::get_if<message::DispatchReply>(&message))
        store(response->answer.body, response->body);
    if (auto *response = std::get_if<message::ForwardReply>(&message))
        store(response->answer.body, response->body);
    handle(to, event::PeerMessage{ from, std::move(message) });
}

void Cluster::performEffect(std::size_t daemon, const effect::AnswerCaller &answer)
{
    CallerRequest &request = m_requests.at(std::stoul(answer.request.value()));
    ++request.answers;
    request.answeredAt = m_now;
    request.answer = answer.answer;
    if (request.answers > 1 || request.daemon != daemon)
        fail("request " + answer.request.value() + " was answered twice or by another daemon");
    if (answer.answer.kind == AnswerKind::Whole
        && bodyContent(daemon, answer.answer.body) != "answer to " + request.content)
        fail("request " + answer.request.value() + " received the answer to another request");
}

void Cluster::performEffect(std::size_t daemon, const effect::ForgetBody &forget)
{
    if (m_daemons[daemon].bodies.erase(forget.body) == 0)
        fail("body " + forget.body.value() + " was released twice");
}

void Cluster::performEffect(std::size_t, const effect::Count &count)
{
    m_counts[count.metric] += count.amount;
}

void Cluster::performEffect(std::size_t daemon, const effect::CallEndpoint &call)
{
    const std::string content = bodyContent(daemon, call.body);
    const std::uint64_t incarnation = m_daemons[daemon].settings.self.incarnation;
    // The body is written after a delay, if the daemon is still running and its validity has not
    // expired.
    after(Duration(100 + static_cast<std::int64_t>(random(2000))), [=, this] {
        const Daemon &sender = m_daemons[daemon];
        if (sender.settings.self.incarnation != incarnation)
            return;
        event::EndpointReply unsent{
            call.attempt, event::EndpointOutcome::NotSent, 0, {}, false, {}
        };
        if (m_now >= call.validUntil || sender.paused || chance(m_options.faults.unsentCalls)) {
            reply(daemon, incarnation, unsent, {});
            return;
        }
        const auto transit = static_cast<std::int64_t>(random(m_options.maxTransit.count()));
        after(Duration(transit), [=, this] { startAtEndpoint(daemon, call, content); });
    });
}

void Cluster::startAtEndpoint(std::size_t daemon, const effect::CallEndpoint &call,
                              const std::string &content)
{
    const std::uint64_t incarnation = m_daemons[daemon].settings.self.incarnation;
    event::EndpointReply response{ call.attempt, event::EndpointOutcome::Answered,        200,
                                   {},           chance(m_options.faults.leavingReplies), {} };
    if (response.leaving || chance(m_options.faults.refusedCalls)) {
        response.outcome = event::EndpointOutcome::Refused;
        reply(daemon, incarnation, response, {});
        return;
    }
    FakeEndpoint &endpoint = m_endpoints.at(call.address);
    recordTrace(daemon, "started " + content + " at " + call.address);
    ++m_starts[content];
    endpoint.active.insert(content);
    if (endpoint.active.size() > std::min(m_options.service.slots, m_options.service.connections))
        fail("endpoint " + call.address + " runs more requests than it has slots or connections");
    if (!call.request.idempotent && m_starts[content] > 1)
        fail("identity " + content + " was started twice");
    const Duration spread = m_options.maxServiceTime - m_options.minServiceTime;
    const Duration served = m_options.minServiceTime
        + Duration(static_cast<std::int64_t>(
            random(static_cast<std::uint64_t>(spread.count()) + 1)));
    after(served, [=, this] {
        auto &active = m_endpoints.at(call.address).active;
        active.erase(active.find(content));
    });
    if (chance(m_options.faults.cutCalls)) {
        response.outcome = event::EndpointOutcome::Unknown;
        after(served / 3, [=, this] { reply(daemon, incarnation, response, {}); });
    } else {
        after(served, [=, this] { reply(daemon, incarnation, response, "answer to " + content); });
    }
}

void Cluster::reply(std::size_t daemon, std::uint64_t incarnation, event::EndpointReply reply,
                    const std::string &content)
{
    Daemon &target = m_daemons[daemon];
    if (target.settings.self.incarnation != incarnation)
        return;
    if (reply.outcome == event::EndpointOutcome::Answered) {
        reply.body =
            BodyKey(target.settings.self.text() + "/b" + std::to_string(++target.lastBody));
        target.bodies[reply.body] = content;
    }
    handle(daemon, reply);
}

void Cluster::handleRaised(std::size_t daemon, const Event &event)
{
    if (const auto *append = std::get_if<event::JournalAppend>(&event))
        journal(daemon, *append);
    if (const auto *load = std::get_if<event::LoadChanged>(&event))
        m_daemons[daemon].load = load->load;
    if (std::holds_alternative<event::StageDrained>(event))
        m_daemons[daemon].drained = true;
}

void Cluster::journal(std::size_t daemon, const event::JournalAppend &append)
{
    ++m_journalWrites;
    const std::uint64_t incarnation = m_daemons[daemon].settings.self.incarnation;
    const std::uint64_t epoch = m_partitions.at(append.entry.partition).epoch;
    const auto result = [=, this](bool durable) {
        after(Duration(static_cast<std::int64_t>(random(20'000))), [=, this] {
            if (m_daemons[daemon].settings.self.incarnation == incarnation)
                handle(daemon, event::JournalResult{ append.ticket, append.stage, durable });
        });
    };
    const bool fails = m_storeOutage || chance(m_options.faults.failedJournalWrites);
    after(Duration(static_cast<std::int64_t>(random(m_commitDelay.count()))), [=, this] {
        Partition &partition = m_partitions.at(append.entry.partition);
        const bool current = partition.owned && partition.owner == daemon && !fails
            && m_daemons[daemon].settings.self.incarnation == incarnation;
        // After a graceful move the old owner's record still accepts entries, but the next owner
        // has already read it.
        if (current && partition.epoch == epoch)
            partition.journal.push_back(append.entry);
        result(!fails && m_daemons[daemon].validUntil > m_now);
    });
}

void Cluster::acquire(const PartitionId &id, std::size_t to, Duration wait)
{
    Partition &partition = m_partitions.at(id);
    partition.owner = to;
    partition.owned = true;
    ++partition.epoch;
    handle(to, event::PartitionAcquired{ id, partition.epoch, m_now + wait, partition.journal });
    publishOwners();
}

void Cluster::acquireAnywhere(const PartitionId &id, std::size_t preferred, Duration wait)
{
    for (std::size_t step = 0; step < m_daemons.size(); ++step) {
        const std::size_t daemon = (preferred + step) % m_daemons.size();
        if (!m_daemons[daemon].paused && !m_daemons[daemon].draining) {
            acquire(id, daemon, wait);
            return;
        }
    }
    after(1s, [=, this] { acquireAnywhere(id, preferred, wait); });
}

void Cluster::movePartition(const PartitionId &id, std::size_t to, bool graceful)
{
    Partition &partition = m_partitions.at(id);
    if (!partition.owned || m_daemons[to].paused || m_daemons[to].draining)
        return;
    const std::size_t from = partition.owner;
    if (graceful && m_daemons[from].paused)
        return; // only a running owner can release
    const auto acquireAfter = [=, this](Duration wait) { acquireAnywhere(id, to, wait); };
    if (graceful) {
        partition.owned = false;
        handle(from, event::PartitionLost{ id });
        publishOwners();
        after(Duration(static_cast<std::int64_t>(random(300'000))),
              [=, this] { acquireAfter(2 * m_options.maxTransit + 5ms); });
    } else {
        const Duration wait = m_daemons[from].validUntil - m_now + 1s;
        const std::uint64_t epoch = partition.epoch;
        after(std::max(wait, Duration(1s)), [=, this] {
            Partition &expired = m_partitions.at(id);
            if (!expired.owned || expired.epoch != epoch || m_daemons[from].validUntil + 1s > m_now)
                return; // moved or renewed in the meantime
            expired.owned = false;
            handle(from, event::PartitionLost{ id }); // deferred while the daemon is paused
            acquireAfter(quarantine);
        });
    }
}

void Cluster::publishOwners()
{
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        after(Duration(static_cast<std::int64_t>(random(500'000))), [=, this] {
            event::OwnersChanged changed;
            for (const auto &[id, partition] : m_partitions) {
                if (partition.owned)
                    changed.owners[id] = m_daemons[partition.owner].settings.self;
            }
            handle(daemon, changed);
        });
    }
}

void Cluster::pause(std::size_t daemon, bool paused)
{
    Daemon &target = m_daemons[daemon];
    if (target.paused == paused)
        return;
    target.paused = paused;
    recordTrace(daemon, paused ? "pause" : "resume");
    target.resumedAt = m_now;
    for (const auto &action : std::exchange(target.deferredActions, {}))
        action();
}

void Cluster::restart(std::size_t daemon)
{
    Daemon &target = m_daemons[daemon];
    recordTrace(daemon, "restart");
    for (auto &request : m_requests)
        request.lost = request.lost || (request.daemon == daemon && request.answers == 0);
    for (const auto &[id, partition] : std::map(m_partitions)) {
        if (partition.owned && partition.owner == daemon) {
            m_partitions[id].owned = false;
            const Duration wait = target.validUntil - m_now + 1s;
            after(std::max(wait, Duration(1s)),
                  [=, this, lost = id] { acquireAnywhere(lost, daemon, quarantine); });
        }
    }
    createDaemon(daemon, target.settings.self.incarnation + 1);
    startDaemon(daemon);
}

void Cluster::drain(std::size_t daemon)
{
    m_daemons[daemon].draining = true;
    handle(daemon, event::DrainRequested{});
}

void Cluster::tickDaemons()
{
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        if (!m_daemons[daemon].paused)
            handle(daemon, event::Tick{});
    }
    if (random(6) == 0)
        sendHeartbeats();
    after(tick, [this] { tickDaemons(); });
}

void Cluster::sendHeartbeats()
{
    for (const auto &sender : m_daemons) {
        event::PeerStatus status{
            sender.settings.self, sender.settings.location, !sender.paused, sender.draining, 1,
            sender.load
        };
        for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
            if (m_daemons[daemon].settings.self.name != status.peer.name)
                handle(daemon, status);
        }
    }
}

void Cluster::renewValidity()
{
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        if (!m_daemons[daemon].paused) {
            m_daemons[daemon].validUntil = m_now + validity;
            handle(daemon, event::ValidityChanged{ m_now + validity, !m_storeOutage });
        }
    }
    after(renewal / 2, [this] { renewValidity(); });
}

void Cluster::pollWorkers()
{
    for (const auto &[address, endpoint] : m_endpoints) {
        const Partition &partition = m_partitions.at(endpoint.partition);
        if (!partition.owned)
            continue;
        const std::size_t owner = partition.owner;
        const TimePoint askedAt = m_now;
        const std::string key = address;
        after(Duration(static_cast<std::int64_t>(random(20'000))), [=, this] {
            const FakeEndpoint &polled = m_endpoints.at(key);
            event::WorkerReport report;
            report.worker = WorkerName(polled.vm.name);
            report.askedAt = askedAt;
            report.endpoints.push_back({ m_options.service.name, key, m_options.service.slots,
                                         m_options.service.connections,
                                         static_cast<std::uint32_t>(polled.active.size()), false });
            after(Duration(static_cast<std::int64_t>(random(20'000))),
                  [=, this] { handle(owner, report); });
        });
    }
    after(700ms, [this] { pollWorkers(); });
}

void Cluster::checkRequests() const
{
    for (std::size_t index = 0; index < m_requests.size(); ++index) {
        const CallerRequest &request = m_requests[index];
        const Daemon &daemon = m_daemons[request.daemon];
        if (request.answers == 0 && !request.lost && !daemon.paused
            && m_now > std::max(request.deadline, daemon.resumedAt) + tick + 1ms)
            fail("request " + std::to_string(index) + " has no answer after its deadline");
    }
}

void Cluster::checkEnd() const
{
    std::map<std::string, bool> onlyNotRun;
    for (const auto &request : m_requests) {
        const bool notRun = request.answers == 1 && request.answer.kind == AnswerKind::NotRun;
        const auto position = onlyNotRun.try_emplace(request.content, true).first;
        position->second = position->second && notRun;
    }
    for (const auto &[content, notRun] : onlyNotRun) {
        if (notRun && starts(content) > 0)
            fail(content + " was answered as not run but was started");
    }
    for (const auto &daemon : m_daemons) {
        const std::string daemonName = daemon.settings.self.text();
        if (daemon.bodies.size() > m_options.answerCacheEntries)
            fail(daemonName + " still holds " + std::to_string(daemon.bodies.size())
                 + " bodies after all requests finished, first "
                 + daemon.bodies.begin()->first.value());
        if (daemon.draining && !daemon.drained)
            fail(daemonName + " has not finished draining");
    }
}

std::vector<PartitionId> Cluster::partitions() const
{
    std::vector<PartitionId> ids;
    for (const auto &[id, partition] : m_partitions)
        ids.push_back(id);
    return ids;
}

std::size_t Cluster::ownerOf(const PartitionId &partition) const
{
    return m_partitions.at(partition).owner;
}

std::uint32_t Cluster::starts(const std::string &content) const
{
    const auto found = m_starts.find(content);
    return found == m_starts.end() ? 0 : found->second;
}

std::uint64_t Cluster::metricValue(const std::string &metric) const
{
    const auto found = m_counts.find(metric);
    return found == m_counts.end() ? 0 : found->second;
}

void Cluster::recordTrace(std::size_t daemon, const std::string &text)
{
    if (m_options.trace)
        m_trace.push_back(std::to_string(m_now.time_since_epoch().count()) + " d"
                          + std::to_string(daemon) + " " + text);
}

void Cluster::fail(const std::string &text) const
{
    throw std::runtime_error("at " + std::to_string(m_now.time_since_epoch().count()) + ": "
                             + text);
}

} // namespace cowsliprock::testing
