#include "ownershipstage.h"

#include <algorithm>
#include <memory>

namespace cowsliprock::ownership {

namespace {

// A renewal is late if its reply has not arrived this long after it was due.
constexpr Duration renewalGrace = std::chrono::milliseconds(500);
// Limits a drain that cannot be completed, for example because of a store outage.
constexpr Duration releaseTimeout = std::chrono::seconds(20);
// Within this time after the start, heartbeats of all peers of the region have arrived.
constexpr Duration heartbeatDiscoveryTime = std::chrono::seconds(3);
constexpr Duration pollPriorityInterval = std::chrono::milliseconds(250);

const StageRegistrar registrar(10, "ownership", [](const KernelSettings &settings) {
    return std::make_unique<OwnershipStage>(settings);
});

} // namespace

OwnershipStage::OwnershipStage(const KernelSettings &settings)
    : m_shared{ settings, settings.self }
    , m_peers(m_shared)
    , m_receivedPromises(m_shared)
    , m_givenPromises(m_shared)
    , m_lease(m_shared, m_calls, m_journal, *this)
    , m_observer(m_calls, *this)
    , m_takeOver(m_shared, m_calls, m_observer, m_peers, m_givenPromises)
    , m_partitions(m_shared, m_calls, m_observer, m_peers)
{ }

void OwnershipStage::handle(const Event &event, TimePoint now, Output &output)
{
    if (m_exited)
        return;
    EventContext context{ now, output };
    std::visit([this, &context](const auto &item) { handleEvent(item, context); }, event);
}

void OwnershipStage::handleEvent(const event::Started &, EventContext &context)
{
    m_startedAt = context.now;
    m_partitions.start(context.now);
    updateReadiness(context);
    handleEvent(event::Tick{}, context);
}

void OwnershipStage::handleEvent(const event::Tick &, EventContext &context)
{
    m_calls.tick(context);
    m_peers.tick(context);
    if (context.now - m_pollPrioritiesUpdatedAt >= pollPriorityInterval)
        updatePollPriorities(context.now);
    m_observer.tick(context);
    m_lease.tick(context);
    requestPromises(context);
    if (!m_drainingSince)
        m_takeOver.tick(context);
    m_partitions.tick(conditions(), context);
    updateValidity(context);
    updateReadiness(context);
    drain(context);
}

void OwnershipStage::handleEvent(const event::StoreReply &event, EventContext &context)
{
    m_calls.handle(event, context);
}

void OwnershipStage::handleEvent(const event::PeerMessage &event, EventContext &context)
{
    m_peers.handleMessage(event, context);
    std::visit([this, &event,
                &context](const auto &message) { handleMessage(event.from, message, context); },
               event.message);
    if (std::holds_alternative<message::Heartbeat>(event.message))
        m_partitions.raiseOwnersChanged(context);
}

void OwnershipStage::handleEvent(const event::VmList &event, EventContext &context)
{
    m_takeOver.handle(event, context.now);
    for (const auto &entry : event.entries)
        m_partitions.addDataCentre(entry.location);
}

void OwnershipStage::handleEvent(const event::OperatorCall &event, EventContext &context)
{
    if (event.action == "daemons")
        context.output.perform(
            effect::AnswerOperator{ event.operation, 200, describe(context.now) });
}

void OwnershipStage::handleEvent(const event::DrainRequested &, EventContext &context)
{
    if (m_drainingSince)
        return;
    m_drainingSince = context.now;
    m_peers.setDraining(true);
    updateReadiness(context);
}

void OwnershipStage::handleEvent(const event::StageDrained &event, EventContext &context)
{
    m_drainedStages.insert(event.stage);
    drain(context);
}

void OwnershipStage::handleEvent(const event::JournalAppend &event, EventContext &context)
{
    if (!m_lease.isConfirmed() || !m_partitions.holds(event.entry.partition)) {
        context.output.raise(event::JournalResult{ event.ticket, event.stage, false });
        return;
    }
    m_journal.append(event, context.now);
    m_lease.tick(context);
}

void OwnershipStage::handleEvent(const event::LoadChanged &event, EventContext &)
{
    m_peers.setLoad(event);
}

void OwnershipStage::handleEvent(const event::ConfigurationInForce &event, EventContext &)
{
    if (event.configuration)
        m_peers.setConfigurationVersion(event.configuration->version);
}

void OwnershipStage::handleEvent(const event::OwnersChanged &event, EventContext &)
{
    std::vector<PartitionId> own;
    for (const auto &[partition, owner] : event.owners) {
        if (owner == m_shared.self)
            own.push_back(partition);
    }
    m_peers.setPartitions(std::move(own));
}

void OwnershipStage::handleMessage(const DaemonIdentity &from,
                                   const message::PromiseRequest &request, EventContext &context)
{
    const auto *observed = m_observer.find(from.name);
    const bool known = observed != nullptr && observed->record
        && observed->record->incarnation == from.incarnation;
    const bool granted =
        m_givenPromises.grant(from, request.recordVersion, known ? observed->version : 0,
                              m_observer.endedSince(from).has_value(), context.now);
    context.output.perform(
        effect::SendPeer{ from.name, message::PromiseReply{ request.sequence, granted } });
}

void OwnershipStage::handleMessage(const DaemonIdentity &from, const message::PromiseReply &reply,
                                   EventContext &context)
{
    m_receivedPromises.handle(from, reply);
    updateValidity(context);
}

void OwnershipStage::handleMessage(const DaemonIdentity &from,
                                   const message::WaiverRequest &request, EventContext &context)
{
    const bool waived = m_givenPromises.waive(request.owner, request.recordVersion, context.now);
    context.output.perform(effect::SendPeer{
        from.name, message::WaiverReply{ request.owner, request.recordVersion, waived } });
}

void OwnershipStage::handleMessage(const DaemonIdentity &from, const message::WaiverReply &reply,
                                   EventContext &context)
{
    m_takeOver.handle(from, reply, context.now);
}

void OwnershipStage::leaseRenewed(EventContext &context)
{
    updateValidity(context);
    updateReadiness(context);
}

void OwnershipStage::leaseLost(EventContext &context)
{
    m_partitions.loseAll(context);
    m_receivedPromises.clear();
    updateValidity(context);
    updateReadiness(context);
    updatePollPriorities(context.now);
    m_observer.requestRead(daemonKey(m_shared.self.name));
}

void OwnershipStage::leaseEnded(EventContext &context)
{
    exit(context);
}

std::vector<DaemonIdentity> OwnershipStage::chooseSuccessors(TimePoint)
{
    return m_peers.chooseSuccessors(m_lease.successors());
}

void OwnershipStage::daemonRecordRead(const DaemonName &name,
                                      const Observer::ObservedRecord &observed,
                                      EventContext &context)
{
    if (name == m_shared.self.name)
        m_lease.handleOwnRecord(observed.version, observed.record, context);
}

void OwnershipStage::ownershipRead(const std::string &dataCentre, std::uint64_t version,
                                   const OwnershipRecord &record, EventContext &context)
{
    m_partitions.handleRecord(dataCentre, version, record, context);
}

void OwnershipStage::updatePollPriorities(TimePoint now)
{
    m_pollPrioritiesUpdatedAt = now;
    std::set<DaemonName> names = m_partitions.knownOwners();
    for (const auto &[name, peer] : m_peers.all()) {
        if (m_peers.isSameRegion(peer))
            names.insert(name);
    }
    names.erase(m_shared.self.name);
    bool changing = false;
    for (const auto &name : names) {
        const auto pollPriority = pollPriorityOf(name, now);
        const auto *peer = m_peers.find(name);
        changing |= pollPriority == Observer::PollPriority::Suspected
            || (peer != nullptr && peer->alive && peer->draining);
        m_observer.setPollPriority(name, pollPriority);
    }
    m_observer.setOwnershipChanging(changing);
    m_observer.setPollPriority(m_shared.self.name,
                               m_lease.phase() == Lease::Phase::Reading
                                   ? Observer::PollPriority::Suspected
                                   : Observer::PollPriority::None);
}

Observer::PollPriority OwnershipStage::pollPriorityOf(const DaemonName &name, TimePoint now) const
{
    const auto *observed = m_observer.find(name);
    const auto *peer = m_peers.find(name);
    const bool alive = peer != nullptr && peer->alive;
    if (observed == nullptr || !observed->record
        || (alive && observed->record->incarnation < peer->identity.incarnation))
        return alive ? Observer::PollPriority::Named : Observer::PollPriority::Low;
    if (observed->record->ended)
        return Observer::PollPriority::Low;
    const bool stale = observed->lastReadAt - observed->firstReadAt
        > m_shared.settings.renewInterval + renewalGrace;
    if (stale || m_peers.isOverdue(name, now))
        return Observer::PollPriority::Suspected;
    const auto &successors = observed->record->successors;
    return std::find(successors.begin(), successors.end(), m_shared.self) != successors.end()
        ? Observer::PollPriority::Named
        : Observer::PollPriority::Low;
}

void OwnershipStage::requestPromises(EventContext &context)
{
    if (!m_lease.isConfirmed())
        return;
    const Duration age = context.now - *m_lease.confirmedAt();
    const bool late = age > m_shared.settings.renewInterval + renewalGrace;
    if ((late || !m_lease.isStoreReachable()) && age < m_shared.settings.maxOutageExtension)
        m_receivedPromises.request(m_lease.possibleSuccessors(), m_lease.version(),
                                   m_validUntil <= context.now, context);
}

void OwnershipStage::updateValidity(EventContext &context)
{
    const auto &settings = m_shared.settings;
    TimePoint validUntil;
    bool reachable = false;
    if (m_lease.isConfirmed()) {
        const TimePoint confirmedAt = *m_lease.confirmedAt();
        validUntil = confirmedAt + settings.leaseTime - settings.leaseMargin;
        reachable = validUntil > context.now;
        if (const auto promised = m_receivedPromises.validUntil(m_lease.possibleSuccessors()))
            validUntil = std::max(validUntil,
                                  std::min(*promised, confirmedAt + settings.maxOutageExtension));
    }
    if (validUntil == m_validUntil && reachable == m_storeReachable)
        return;
    m_validUntil = validUntil;
    m_storeReachable = reachable;
    context.output.raise(event::ValidityChanged{ validUntil, reachable });
}

std::string OwnershipStage::notReadyReason(TimePoint now)
{
    if (m_drainingSince)
        return "draining";
    if (m_validUntil <= now)
        return m_lease.isConfirmed() ? "lease expired" : "no lease";
    // The peers' configuration versions are known from the first heartbeats.
    if (now - m_startedAt >= heartbeatDiscoveryTime
        && m_peers.configurationVersion() >= m_peers.highestPeerConfigurationVersion())
        m_configurationUpToDate = true;
    return m_configurationUpToDate ? "" : "configuration is behind";
}

void OwnershipStage::updateReadiness(EventContext &context)
{
    auto reason = notReadyReason(context.now);
    if (m_notReadyReason == reason)
        return;
    context.output.perform(effect::SetReady{ reason.empty(), reason });
    m_notReadyReason = std::move(reason);
}

void OwnershipStage::drain(EventContext &context)
{
    if (!m_drainingSince || m_exited)
        return;
    const bool drained =
        m_drainedStages.count("requests") > 0 && m_drainedStages.count("scheduling") > 0;
    const bool expired = context.now - *m_drainingSince >= m_shared.settings.drainLimit;
    if (!drained && !expired)
        return;
    if (!m_releasingSince) {
        m_releasingSince = context.now;
        context.output.log(drained ? "drain completed; releasing partitions"
                                   : "drain limit exceeded; releasing partitions");
    }
    m_partitions.releaseAll(drained, conditions(), context);
    if (m_lease.phase() != Lease::Phase::Active
        || context.now - *m_releasingSince >= releaseTimeout)
        return exit(context);
    if (m_partitions.hasReleasedAll() && !m_journal.hasPending())
        m_lease.end();
}

void OwnershipStage::exit(EventContext &context)
{
    m_exited = true;
    context.output.perform(effect::Exit{});
}

Partitions::Conditions OwnershipStage::conditions() const
{
    return { m_lease.isConfirmed() && m_lease.isStoreReachable(), m_validUntil,
             [this](const PartitionId &partition) { return m_journal.hasPendingFor(partition); },
             [this](const DaemonIdentity &identity) { return m_takeOver.validityEnd(identity); } };
}

} // namespace cowsliprock::ownership
