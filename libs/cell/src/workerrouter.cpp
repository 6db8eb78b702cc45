#include "workerrouter.h"

#include "peermessages.h"
#include "relaytimes.h"

#include <base/id.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Number of workers per relaying daemon, which spends about as much on them as the owner would.
constexpr std::size_t workersPerAgent = 256;
/// Interval at which the relaying daemons are selected again.
constexpr std::chrono::milliseconds selectionInterval{ 100 };
/// Interval at which overdue calls are checked for.
constexpr std::chrono::milliseconds overdueInterval{ 200 };
/// Calls are collected for this long and sent in one batch.
constexpr std::chrono::milliseconds batchDelay{ 8 };
/// Minimum time allowed for the exchange with the relaying daemon, in addition to the hold time of
/// a batch or the timeout of a call.
constexpr std::chrono::milliseconds minExchangeTime{ 650 };
/// Late responses are accepted for this long.
constexpr std::chrono::seconds lateReplyWindow{ 4 };
/// A daemon that failed is not used for relaying for this long, doubled with each consecutive
/// failure.
constexpr std::chrono::seconds failureBackoff{ 2 };
constexpr std::uint32_t maxDoublings = 3;

Error unknownOutcome(const std::string &address)
{
    return Error{ ErrorKind::Timeout, "worker.relayed", address, "relaying daemon failed" };
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
    if (m_workerCount < m_settings.minWorkersForRelay)
        return nullptr;
    if (m_ports.timers.now() - group.selected >= selectionInterval)
        selectAgents(worker.dataCentre, group);
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
    requestClock(agent);
    return nullptr;
}

void WorkerRouter::requestClock(Agent &agent)
{
    if (agent.batches == 0)
        send(agent, {});
}

void WorkerRouter::selectAgents(const std::string &dataCentre, Group &group)
{
    using Rank = std::tuple<double, std::uint64_t, std::string>;
    std::vector<Rank> ranks;
    for (const auto &[name, member] : m_membership.members()) {
        // The owner already carries the load of scheduling.
        const bool self = name == m_membership.self().name;
        if (member.dataCentre == dataCentre && !self && !isBackingOff(name))
            ranks.emplace_back(-member.weight, stableHash(name), name);
    }
    std::sort(ranks.begin(), ranks.end());
    const auto count = 1 + (group.workers.size() - 1) / workersPerAgent;
    ranks.resize(std::min(count, ranks.size()));
    group.agents.clear();
    for (auto &rank : ranks)
        group.agents.push_back(std::move(std::get<std::string>(rank)));
    group.selected = m_ports.timers.now();
}

bool WorkerRouter::isBackingOff(const std::string &name) const
{
    const auto agent = m_agents.find(name);
    return agent != m_agents.end() && agent->second.backoffUntil > m_ports.timers.now();
}

void WorkerRouter::relay(Agent &agent, RelayedCall call,
                         std::variant<OrderDone, InventoryDone> done, Duration time)
{
    const auto number = ++m_lastCall;
    std::visit([number](auto &each) { each.call = number; }, call);
    const auto due = m_ports.timers.now() + time + exchangeTime();
    agent.pending.emplace(number, Pending{ std::move(done), std::move(call), due, false });
    ++agent.open;
    agent.outbox.push_back(number);
    m_ports.metrics.count("relay.calls");
    scheduleFlush(agent);
}

void WorkerRouter::scheduleFlush(Agent &agent)
{
    if (std::exchange(agent.flushScheduled, true))
        return;
    m_ports.timers.after(batchDelay, [this, alive = m_alive, &agent] {
        if (!*alive)
            return;
        agent.flushScheduled = false;
        flush(agent);
    });
}

void WorkerRouter::flush(Agent &agent)
{
    reportOverdue(agent);
    // A batch without calls serves only to collect replies.
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
    const Duration time = relayHoldTime + exchangeTime();
    m_ports.peers.call({ agent.address, "POST", "/peer/relay", encode(batch), time },
                       [this, alive = m_alive, &agent, sent, time,
                        startTime = m_ports.timers.now()](const Result<PeerAnswer> &answer) {
                           if (!*alive)
                               return;
                           observe(m_ports.timers.now() - startTime, time, answer);
                           handleAnswer(agent, sent, answer);
                       });
}

void WorkerRouter::observe(Duration taken, Duration limit, const Result<PeerAnswer> &answer)
{
    if (answer.has_value())
        m_delays.observe(std::max<Duration>(taken - relayHoldTime, Duration::zero()));
    else if (taken >= limit)
        // The response would have taken longer, for example on a saturated link, so the timeout of
        // the next batches must grow.
        m_delays.observe(limit);
}

Duration WorkerRouter::exchangeTime() const
{
    return std::max<Duration>(m_delays.timeout(), minExchangeTime);
}

void WorkerRouter::handleAnswer(Agent &agent, const std::vector<std::uint64_t> &sent,
                                const Result<PeerAnswer> &answer)
{
    --agent.batches;
    if (!answer.has_value()) {
        failed(agent, sent, answer.error());
        return;
    }
    if (answer.value().status == statusConflict) {
        handleDeposed();
        return;
    }
    const auto decoded = answer.value().status == statusOk ? decodeRelayAnswer(answer.value().body)
                                                           : std::optional<RelayAnswer>();
    if (!decoded) {
        // The daemon rejected the batch as a whole, so none of its calls was made.
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
        scheduleFlush(agent);
}

void WorkerRouter::handleDeposed()
{
    // The rejected calls are not made directly, which would interfere with the new owner.
    m_ports.log.write(
        m_ports.timers.now(), "relay.deposed",
        { { "shard", m_settings.shard }, { "revision", m_settings.ownershipRevision } });
    m_ports.timers.after(Duration::zero(), [alive = m_alive, this] {
        if (!*alive)
            return;
        if (const auto notify = std::exchange(m_deposed, {}))
            notify();
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
    // After an error a late response may still arrive, but a second error adds no information.
    if (error && entry->second.failed)
        return;
    agent.open -= entry->second.failed ? 0 : 1;
    const auto done = entry->second.done;
    if (error) {
        entry->second.failed = true;
        entry->second.due = m_ports.timers.now() + lateReplyWindow;
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
    agent.backoffUntil = now + failureBackoff * (1U << std::min(agent.failures, maxDoublings));
    for (auto &[dataCentre, group] : m_groups)
        group.selected = TimePoint();
    ++agent.failures;
    m_ports.metrics.count("relay.failed");
    m_ports.log.write(now, "relay.lost",
                      { { "daemon", agent.name },
                        { "calls", static_cast<std::uint64_t>(agent.open) },
                        { "error", error.text() } });
    // Calls that were certainly not relayed can safely be made directly.
    auto unsent = std::exchange(agent.outbox, {});
    if (!mayHaveTakenEffect(error))
        unsent.insert(unsent.end(), sent.begin(), sent.end());
    for (const auto number : unsent)
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
    entry->second.due = m_ports.timers.now() + lateReplyWindow;
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
