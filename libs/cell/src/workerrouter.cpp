#include "workerrouter.h"

#include "peermessages.h"
#include "relaytimes.h"

#include <base/id.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Workers that one daemon is called for; it spends about as much on them as the owner did.
constexpr std::size_t workersPerAgent = 256;
/// The choice of daemons is looked at again after this time.
constexpr std::chrono::milliseconds choiceTime{ 100 };
/// Calls without an outcome are looked for this often.
constexpr std::chrono::milliseconds overdueInterval{ 200 };
/// Calls that come close together go in one batch.
constexpr std::chrono::milliseconds gatherTime{ 8 };
/// Beyond the time for which a batch is held, and beyond that of a call at the other daemon.
constexpr std::chrono::milliseconds batchReserve{ 650 };
/// Answers that are only late are taken for this long.
constexpr std::chrono::seconds lateTime{ 4 };
/// A daemon that failed relays nothing for this long, doubled with each failure in a row.
constexpr std::chrono::seconds avoidTime{ 2 };
constexpr std::uint32_t maxDoublings = 3;

Error unknownOutcome(const std::string &address)
{
    return Error{ ErrorKind::Timeout, "worker.relayed", address, "the relaying daemon failed" };
}

template <typename T>
Result<T> toResult(const std::variant<T, Error> &outcome)
{
    if (const auto *error = std::get_if<Error>(&outcome))
        return *error;
    return std::get<T>(outcome);
}

} // namespace

WorkerRouter::WorkerRouter(const Ports &ports, const Membership &membership,
                           const Settings &settings, std::function<void()> deposed)
    : m_ports(ports)
    , m_membership(membership)
    , m_settings(settings)
    , m_deposed(std::move(deposed))
{ }

WorkerRouter::~WorkerRouter()
{
    *m_alive = false;
}

void WorkerRouter::start(const WorkerTarget &worker, const StartOrder &order, const OrderCall &call,
                         Done<Result<OrderOutcome>> done)
{
    Agent *agent = call.freshConnection ? nullptr : agentFor(worker);
    if (agent == nullptr)
        m_ports.direct.start(worker, order, call, std::move(done));
    else
        relay(*agent, RelayedStart{ 0, worker, order, call }, std::move(done), call.timeout);
}

void WorkerRouter::stop(const WorkerTarget &worker, const StopOrder &order, const OrderCall &call,
                        Done<Result<OrderOutcome>> done)
{
    Agent *agent = call.freshConnection ? nullptr : agentFor(worker);
    if (agent == nullptr)
        m_ports.direct.stop(worker, order, call, std::move(done));
    else
        relay(*agent, RelayedStop{ 0, worker, order, call }, std::move(done), call.timeout);
}

void WorkerRouter::inventory(const WorkerTarget &worker, const InventoryRequest &request,
                             Done<Result<InventoryOutcome>> done)
{
    Agent *agent = request.freshConnection ? nullptr : agentFor(worker);
    if (agent == nullptr)
        m_ports.direct.inventory(worker, request, std::move(done));
    else
        relay(*agent, RelayedInventory{ 0, worker, request }, std::move(done),
              request.wait + request.timeout);
}

WorkerRouter::Agent *WorkerRouter::agentFor(const WorkerTarget &worker)
{
    Group &group = m_groups[worker.dataCentre];
    if (group.workers.insert(worker.id).second)
        ++m_workerCount;
    if (m_workerCount < m_settings.fewestWorkersToRelay)
        return nullptr;
    if (m_ports.timers.now() - group.chosen >= choiceTime)
        chooseAgents(worker.dataCentre, group);
    if (group.agents.empty())
        return nullptr;
    const auto &name = group.agents[stableHash(worker.id) % group.agents.size()];
    const auto member = m_membership.members().find(name);
    if (member == m_membership.members().end())
        return nullptr;
    Agent &agent = m_agents[name];
    agent.name = name;
    agent.address = member->second.address;
    if (agent.clockOffset)
        return &agent;
    askClock(agent);
    return nullptr;
}

void WorkerRouter::askClock(Agent &agent)
{
    if (agent.batches == 0)
        send(agent, {});
}

void WorkerRouter::chooseAgents(const std::string &dataCentre, Group &group)
{
    using Rank = std::tuple<double, std::uint64_t, std::string>;
    std::vector<Rank> ranks;
    for (const auto &[name, member] : m_membership.members()) {
        // The owner has enough to do.
        const bool self = name == m_membership.self().name;
        if (member.dataCentre == dataCentre && !self && !avoided(name))
            ranks.emplace_back(-member.weight, stableHash(name), name);
    }
    std::sort(ranks.begin(), ranks.end());
    const auto count = 1 + (group.workers.size() - 1) / workersPerAgent;
    ranks.resize(std::min(count, ranks.size()));
    group.agents.clear();
    for (auto &rank : ranks)
        group.agents.push_back(std::move(std::get<std::string>(rank)));
    group.chosen = m_ports.timers.now();
}

bool WorkerRouter::avoided(const std::string &name) const
{
    const auto agent = m_agents.find(name);
    return agent != m_agents.end() && agent->second.avoidUntil > m_ports.timers.now();
}

void WorkerRouter::relay(Agent &agent, RelayedCall call,
                         std::variant<OrderDone, InventoryDone> done, Duration time)
{
    const auto number = ++m_lastCall;
    std::visit([number](auto &each) { each.call = number; }, call);
    const auto due = m_ports.timers.now() + time + reserve();
    agent.pending.emplace(number, Pending{ std::move(done), std::move(call), due, false });
    ++agent.open;
    agent.outbox.push_back(number);
    m_ports.metrics.count("relay.calls");
    flushSoon(agent);
}

void WorkerRouter::flushSoon(Agent &agent)
{
    if (std::exchange(agent.flushScheduled, true))
        return;
    m_ports.timers.after(gatherTime, [this, alive = m_alive, &agent] {
        if (!*alive)
            return;
        agent.flushScheduled = false;
        flush(agent);
    });
}

void WorkerRouter::flush(Agent &agent)
{
    reportOverdue(agent);
    // A batch without calls only collects replies.
    if (agent.outbox.empty() && (agent.batches > 0 || agent.open == 0))
        return;
    send(agent, std::exchange(agent.outbox, {}));
}

void WorkerRouter::send(Agent &agent, const std::vector<std::uint64_t> &sent)
{
    RelayBatch batch{ m_settings.shard, m_settings.ownershipRevision, {}, {} };
    if (agent.clockOffset) {
        const auto time = m_ports.timers.now().time_since_epoch() + *agent.clockOffset;
        batch.clock = std::chrono::milliseconds(toMilliseconds(time));
    }
    for (const auto number : sent) {
        if (const auto pending = agent.pending.find(number); pending != agent.pending.end())
            batch.calls.push_back(pending->second.call);
    }
    ++agent.batches;
    m_ports.metrics.count("relay.batches");
    const Duration time = relayHoldTime + reserve();
    m_ports.peers.call({ agent.address, "POST", "/peer/relay", encode(batch), time },
                       [this, alive = m_alive, &agent, sent, time,
                        begun = m_ports.timers.now()](const Result<PeerAnswer> &answer) {
                           if (!*alive)
                               return;
                           observe(m_ports.timers.now() - begun, time, answer);
                           answered(agent, sent, answer);
                       });
}

void WorkerRouter::observe(Duration taken, Duration limit, const Result<PeerAnswer> &answer)
{
    if (answer.has_value())
        m_delays.observe(std::max<Duration>(taken - relayHoldTime, Duration::zero()));
    else if (taken >= limit)
        // It would have taken longer, as with a full link: the next ones are waited for longer.
        m_delays.observe(limit);
}

Duration WorkerRouter::reserve() const
{
    return std::max<Duration>(m_delays.timeout(), batchReserve);
}

void WorkerRouter::answered(Agent &agent, const std::vector<std::uint64_t> &sent,
                            const Result<PeerAnswer> &answer)
{
    --agent.batches;
    if (!answer.has_value()) {
        failed(agent, sent, answer.error());
        return;
    }
    if (answer.value().status == statusConflict) {
        stopCalling();
        return;
    }
    const auto decoded = answer.value().status == statusOk ? decodeRelayAnswer(answer.value().body)
                                                           : std::optional<RelayAnswer>();
    if (!decoded) {
        // It refused the batch as a whole, so that none of its calls was made.
        failed(agent, sent,
               Error{ ErrorKind::Unavailable, "peer.relay", agent.address,
                      "status " + std::to_string(answer.value().status) });
        return;
    }
    agent.failures = 0;
    agent.clockOffset = decoded->clock - m_ports.timers.now().time_since_epoch();
    for (const auto &reply : decoded->replies)
        deliver(agent, reply);
    for (const auto number : decoded->stale ? sent : std::vector<std::uint64_t>())
        callDirectly(agent, number);
    reportOverdue(agent);
    if (agent.batches == 0 && agent.open > 0)
        flushSoon(agent);
}

void WorkerRouter::stopCalling()
{
    // What was refused is the next owner's matter; calling directly would act beside it.
    m_ports.log.write(
        m_ports.timers.now(), "relay.deposed",
        { { "shard", m_settings.shard }, { "revision", m_settings.ownershipRevision } });
    m_ports.timers.after(Duration::zero(), [alive = m_alive, this] {
        if (!*alive)
            return;
        if (const auto tell = std::exchange(m_deposed, {}))
            tell();
    });
}

void WorkerRouter::deliver(Agent &agent, const RelayReply &reply)
{
    const auto number = std::visit([](const auto &each) { return each.call; }, reply);
    const auto entry = agent.pending.find(number);
    if (entry == agent.pending.end())
        return;
    const bool error = std::visit(
        [](const auto &each) { return std::holds_alternative<Error>(each.outcome); }, reply);
    // After an error the answer may still come late; a second error says nothing new.
    if (error && entry->second.failed)
        return;
    agent.open -= entry->second.failed ? 0 : 1;
    const auto done = entry->second.done;
    if (error) {
        entry->second.failed = true;
        entry->second.due = m_ports.timers.now() + lateTime;
    } else {
        agent.pending.erase(entry);
    }
    if (const auto *order = std::get_if<OrderReply>(&reply)) {
        if (const auto *orderDone = std::get_if<OrderDone>(&done))
            (*orderDone)(toResult(order->outcome));
    } else if (const auto *inventoryDone = std::get_if<InventoryDone>(&done)) {
        (*inventoryDone)(toResult(std::get<InventoryReply>(reply).outcome));
    }
}

void WorkerRouter::failed(Agent &agent, const std::vector<std::uint64_t> &sent, const Error &error)
{
    const auto now = m_ports.timers.now();
    agent.clockOffset.reset();
    agent.avoidUntil = now + avoidTime * (1U << std::min(agent.failures, maxDoublings));
    for (auto &[dataCentre, group] : m_groups)
        group.chosen = TimePoint();
    ++agent.failures;
    m_ports.metrics.count("relay.failed");
    m_ports.log.write(now, "relay.lost",
                      { { "daemon", agent.name },
                        { "calls", static_cast<std::uint64_t>(agent.open) },
                        { "error", error.text() } });
    // Calls that were never given away can be made here.
    auto own = std::exchange(agent.outbox, {});
    if (!mayHaveTakenEffect(error))
        own.insert(own.end(), sent.begin(), sent.end());
    for (const auto number : own)
        callDirectly(agent, number);
    std::vector<std::uint64_t> unknown;
    for (const auto &[number, pending] : agent.pending) {
        if (!pending.failed)
            unknown.push_back(number);
    }
    for (const auto number : unknown)
        reportUnknown(agent, number);
}

void WorkerRouter::callDirectly(Agent &agent, std::uint64_t number)
{
    const auto entry = agent.pending.find(number);
    if (entry == agent.pending.end() || entry->second.failed)
        return;
    Pending pending = std::move(entry->second);
    agent.pending.erase(entry);
    --agent.open;
    auto &direct = m_ports.direct;
    if (const auto *start = std::get_if<RelayedStart>(&pending.call)) {
        direct.start(start->worker, start->order, start->options,
                     std::get<OrderDone>(std::move(pending.done)));
    } else if (const auto *stop = std::get_if<RelayedStop>(&pending.call)) {
        direct.stop(stop->worker, stop->order, stop->options,
                    std::get<OrderDone>(std::move(pending.done)));
    } else if (const auto *inventory = std::get_if<RelayedInventory>(&pending.call)) {
        direct.inventory(inventory->worker, inventory->request,
                         std::get<InventoryDone>(std::move(pending.done)));
    }
}

void WorkerRouter::reportUnknown(Agent &agent, std::uint64_t number)
{
    const auto entry = agent.pending.find(number);
    if (entry == agent.pending.end() || entry->second.failed)
        return;
    entry->second.failed = true;
    entry->second.due = m_ports.timers.now() + lateTime;
    --agent.open;
    const auto done = entry->second.done;
    std::visit([&agent](const auto &each) { each(unknownOutcome(agent.address)); }, done);
}

void WorkerRouter::reportOverdue(Agent &agent)
{
    const auto now = m_ports.timers.now();
    if (now - agent.overdueChecked < overdueInterval)
        return;
    agent.overdueChecked = now;
    std::vector<std::uint64_t> overdue;
    for (auto entry = agent.pending.begin(); entry != agent.pending.end();) {
        const Pending &pending = entry->second;
        if (pending.due > now) {
            ++entry;
        } else if (pending.failed) {
            entry = agent.pending.erase(entry);
        } else {
            overdue.push_back(entry->first);
            ++entry;
        }
    }
    for (const auto number : overdue)
        reportUnknown(agent, number);
}

} // namespace cowsliprock::cell
