#include <cell/node.h>

#include "advicequeue.h"
#include "configurationfollower.h"
#include "election.h"
#include "clientrequesthandler.h"
#include "keys.h"
#include "leaderlease.h"
#include "leasedworkers.h"
#include "measuredports.h"
#include "membership.h"
#include "peerrequesthandler.h"
#include "relayagent.h"
#include "shard.h"
#include "storerouter.h"
#include "workerrouter.h"

#include <base/id.h>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace cowsliprock::cell {

struct Node::State
{
    State(const Ports &nodePorts, Settings nodeSettings, PlatformRecords platformRecords);
    ~State() { *alive = false; }

    struct Slot
    {
        std::unique_ptr<Election> election;
        // Set while this daemon owns the shard.
        std::unique_ptr<LeaderLease> lease;
        std::unique_ptr<WorkerRouter> router;
        std::unique_ptr<LeasedWorkers> workers;
        std::unique_ptr<Shard> shard;
    };

    void start();
    void acquired(std::uint32_t number, const Ownership &ownership);
    void lost(std::uint32_t number);
    void configurationChanged(const CellConfiguration &configuration);
    void shutdown(Duration limit, std::function<void()> done);
    [[nodiscard]] const Shard *loadedShard(std::uint32_t number) const;
    /// Returns nothing if this daemon does not own the shard.
    std::optional<AcceptedAnswer> jobAccepted(std::uint32_t number, const StoreItem &item);
    void jobCancelled(const std::string &id);
    /// Promises the owner of the shard not to claim it; returns nothing if that is refused.
    std::optional<PromiseAnswer> promise(std::uint32_t number, std::uint64_t ownershipRevision);
    [[nodiscard]] PeerRequestHandler::Shards shardsForPeers();
    [[nodiscard]] std::vector<std::string> otherDaemons() const;

    CallMeter meter;
    MeasuredStore store;
    MeasuredWorkers workers;
    MeasuredAdvice adviceService;
    MeasuredPeers peers;
    StoreRouter router;
    Ports ports; ///< Instrumented ports; the store is accessed through the router.
    Settings settings;
    PlatformRecords records;
    Membership membership;
    ConfigurationFollower configuration;
    std::function<void(const CellConfiguration &)> configurationCallback;
    AdviceQueue advice;
    RelayAgent agent;
    ClientRequestHandler requestHandler;
    PeerRequestHandler peerHandler;
    std::vector<Slot> slots;
    bool stopping = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

Node::State::State(const Ports &nodePorts, Settings nodeSettings, PlatformRecords platformRecords)
    : meter(nodePorts.timers, nodePorts.log, nodePorts.metrics)
    , store(nodePorts.store, meter)
    , workers(nodePorts.workers, meter)
    , adviceService(nodePorts.advice, meter)
    , peers(nodePorts.peers, meter)
    , router({ store, peers, nodePorts.timers, nodePorts.log, nodePorts.metrics },
             [this] { return otherDaemons(); })
    , ports{ router,           workers,       adviceService,    peers,
             nodePorts.timers, nodePorts.log, nodePorts.metrics }
    , settings(std::move(nodeSettings))
    , records(std::move(platformRecords))
    , membership(ports.store, ports.timers, ports.log,
                 MemberRecord{ settings.name, settings.incarnation, settings.address,
                               settings.dataCentre, settings.weight })
    , configuration(ports.store, ports.timers, ports.log, records)
    , advice(ports.advice, ports.peers, ports.timers, membership)
    , agent(ports.workers, ports.timers, membership)
    , requestHandler(
          { router, ports.peers, ports.timers, ports.log, ports.metrics }, membership,
          settings.shards,
          [this](std::uint32_t shard,
                 const std::string &id) -> std::optional<std::optional<JobStatus>> {
              const Shard *owned = loadedShard(shard);
              if (owned == nullptr)
                  return std::nullopt;
              return std::optional(owned->scheduler().status(id));
          },
          [this](std::uint32_t shard, const std::string &queue) -> std::optional<std::uint64_t> {
              const Shard *owned = loadedShard(shard);
              if (owned == nullptr)
                  return std::nullopt;
              return owned->scheduler().pending(queue);
          },
          [this](std::uint32_t shard, const StoreItem &item) { return jobAccepted(shard, item); })
    , peerHandler({ ports.advice, router, agent }, shardsForPeers())
    , slots(settings.shards)
{
    for (std::uint32_t number = 0; number < settings.shards; ++number) {
        slots[number].election = std::make_unique<Election>(
            ports.store, ports.timers, ports.log, membership, number,
            Election::Listener{
                [this, number](const Ownership &ownership) { acquired(number, ownership); },
                [this, number] { lost(number); } });
    }
}

void Node::State::start()
{
    membership.start([this] {
        for (auto &slot : slots) {
            slot.election->evaluate();
            if (slot.lease)
                slot.lease->membershipChanged();
        }
    });
    configuration.start([this](const CellConfiguration &newest) { configurationChanged(newest); });
}

void Node::State::acquired(std::uint32_t number, const Ownership &ownership)
{
    Scheduler::Settings shardSettings;
    shardSettings.shard = number;
    shardSettings.ownershipRevision = ownership.revision;
    shardSettings.generation = ownership.generation;
    shardSettings.contested = ownership.contested;
    shardSettings.lease = settings.lease;
    shardSettings.maxLease = settings.maxLease;
    shardSettings.stopTimeout = settings.stopTimeout;
    shardSettings.statusRetention = settings.statusRetention;
    shardSettings.policy = settings.policy;
    auto &slot = slots[number];
    slot.shard.reset();
    slot.lease = std::make_unique<LeaderLease>(
        LeaderLease::Ports{ ports.store, ports.peers, ports.timers, ports.log }, membership,
        LeaderLease::Settings{ number, ownership.revision, ownership.claimedAt, ownership.contested,
                               settings.maxLease - settings.lease },
        [&slot] { slot.election->leaseExpired(); });
    slot.router = std::make_unique<WorkerRouter>(
        WorkerRouter::Ports{ ports.workers, ports.peers, ports.timers, ports.log, ports.metrics },
        membership,
        WorkerRouter::Settings{ number, ownership.revision, settings.minWorkersForRelay },
        [this, number] { slots[number].election->deposed(); });
    slot.workers = std::make_unique<LeasedWorkers>(*slot.router, ports.timers, *slot.lease);
    slot.shard = std::make_unique<Shard>(Scheduler::Ports{ *slot.workers, advice, *slot.lease,
                                                           ports.timers, ports.log, ports.metrics },
                                         ports.store, records, shardSettings,
                                         StoreCondition{ keys::owner(number), ownership.revision },
                                         [&slot] { slot.election->deposed(); });
    if (const auto *current = configuration.current())
        slot.shard->configure(*current);
    slot.lease->start();
    slot.shard->start();
}

void Node::State::lost(std::uint32_t number)
{
    auto &slot = slots[number];
    slot.shard.reset();
    slot.workers.reset();
    slot.router.reset();
    slot.lease.reset();
}

void Node::State::configurationChanged(const CellConfiguration &newest)
{
    for (auto &slot : slots) {
        if (slot.shard)
            slot.shard->configure(newest);
    }
    if (configurationCallback)
        configurationCallback(newest);
}

const Shard *Node::State::loadedShard(std::uint32_t number) const
{
    if (number >= slots.size())
        return nullptr;
    const Shard *shard = slots[number].shard.get();
    return shard != nullptr && shard->loaded() ? shard : nullptr;
}

std::optional<AcceptedAnswer> Node::State::jobAccepted(std::uint32_t number, const StoreItem &item)
{
    if (loadedShard(number) == nullptr)
        return std::nullopt;
    return slots[number].shard->jobAccepted(item);
}

void Node::State::jobCancelled(const std::string &id)
{
    const auto number = requestHandler.shardOf(id);
    if (loadedShard(number) != nullptr)
        slots[number].shard->jobCancelled(id);
}

std::optional<PromiseAnswer> Node::State::promise(std::uint32_t number,
                                                  std::uint64_t ownershipRevision)
{
    auto &election = *slots[number].election;
    if (!election.promise(ownershipRevision))
        return std::nullopt;
    return PromiseAnswer{ election.runningFor() };
}

PeerRequestHandler::Shards Node::State::shardsForPeers()
{
    return {
        settings.shards,
        [this](const std::string &job) { return loadedShard(requestHandler.shardOf(job)); },
        [this](std::uint32_t shard) { return loadedShard(shard); },
        [this](std::uint32_t shard, const StoreItem &item) { return jobAccepted(shard, item); },
        [this](const std::string &job) { jobCancelled(job); },
        [this](std::uint32_t shard, std::uint64_t revision) { return promise(shard, revision); },
    };
}

void Node::State::shutdown(Duration limit, std::function<void()> done)
{
    stopping = true;
    struct Progress
    {
        std::size_t open = 0;
        std::function<void()> done;
    };
    auto progress = std::make_shared<Progress>();
    progress->done = std::move(done);
    const auto finish = [this, aliveFlag = alive, progress] {
        if (!progress->done)
            return;
        if (*aliveFlag)
            membership.leave();
        std::exchange(progress->done, {})();
    };
    progress->open = slots.size();
    for (auto &slot : slots) {
        slot.election->withdraw();
        const auto release = [&slot, aliveFlag = alive, progress, finish] {
            if (!*aliveFlag)
                return;
            slot.election->release([progress, finish] {
                if (--progress->open == 0)
                    finish();
            });
        };
        if (slot.shard)
            slot.shard->whenReadyForHandover(release);
        else
            release();
    }
    ports.timers.after(limit, finish);
}

std::vector<std::string> Node::State::otherDaemons() const
{
    // Each daemon has its own order, so that daemons without access to the store do not all choose
    // the same peer.
    using Rank = std::tuple<bool, std::uint64_t, std::string>;
    std::vector<Rank> ranks;
    for (const auto &[name, member] : membership.members()) {
        if (name != settings.name)
            ranks.emplace_back(member.dataCentre != settings.dataCentre,
                               stableHash(settings.name + "/" + member.name), member.address);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<std::string> addresses;
    addresses.reserve(ranks.size());
    for (auto &rank : ranks)
        addresses.push_back(std::move(std::get<std::string>(rank)));
    return addresses;
}

Node::Node(const Ports &ports, Settings settings, PlatformRecords records)
    : m_state(std::make_unique<State>(ports, std::move(settings), std::move(records)))
{ }

Node::~Node() = default;

void Node::start()
{
    m_state->start();
}

void Node::recover()
{
    for (auto &slot : m_state->slots)
        slot.election->deposed();
}

bool Node::ready() const noexcept
{
    return !m_state->stopping && m_state->configuration.current() != nullptr
        && m_state->membership.synchronized() && !m_state->router.isolated();
}

void Node::shutdown(Duration limit, std::function<void()> done)
{
    m_state->shutdown(limit, std::move(done));
}

void Node::onConfiguration(std::function<void(const CellConfiguration &)> action)
{
    m_state->configurationCallback = std::move(action);
}

const CellConfiguration *Node::configuration() const noexcept
{
    return m_state->configuration.current();
}

void Node::submit(const std::string &id, const Caller &caller, const QueueSettings &queue,
                  JobSpec spec, TimePoint deadline, const Done<SubmitResult> &done)
{
    JobRecord record;
    record.id = id;
    record.customer = caller.customer;
    record.queue = queue;
    record.configurationVersion = configuration()->version;
    record.spec = std::move(spec);
    m_state->requestHandler.submit(record, configuration()->customers.find(caller.customer),
                                   deadline, done);
}

std::chrono::seconds Node::excessRetryAfter(const std::string &id, const Caller &caller) const
{
    return m_state->requestHandler.excessRetryAfter(id, caller.customer);
}

std::chrono::seconds Node::retryAfter() const noexcept
{
    return m_state->requestHandler.retryAfter();
}

void Node::status(const std::string &id, const Done<StatusAnswer> &done)
{
    m_state->requestHandler.status(id, done);
}

void Node::cancel(const std::string &id, TimePoint deadline, const Done<CancelResult> &done)
{
    m_state->requestHandler.cancel(id, deadline, done);
}

void Node::pending(const std::string &queue, const Done<std::optional<std::uint64_t>> &done)
{
    m_state->requestHandler.pending(queue, done);
}

void Node::peerCall(const std::string &method, const std::string &path, const std::string &body,
                    const Done<PeerAnswer> &done)
{
    m_state->peerHandler.handle(method, path, body, done);
}

} // namespace cowsliprock::cell
