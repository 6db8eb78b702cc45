#include "takeover.h"

#include <algorithm>
#include <vector>

namespace cowsliprock::ownership {

namespace {

constexpr Duration waiverInterval = std::chrono::seconds(2);
// Maximum age of the read on which a take-over is based.
constexpr Duration maxReadAge = std::chrono::seconds(5);
// Clock rates differ by up to 1 %, which over the outage extension exceeds the lease margin.
// The bound is therefore extended by 1/32.
constexpr int extensionMarginDivisor = 32;

} // namespace

TakeOver::TakeOver(const SharedState &shared, StoreCalls &calls, Observer &observer, Peers &peers,
                   GivenPromises &givenPromises) noexcept
    : m_shared(shared)
    , m_calls(calls)
    , m_observer(observer)
    , m_peers(peers)
    , m_givenPromises(givenPromises)
{ }

void TakeOver::tick(EventContext &context)
{
    // Replies are not handled inside this loop, so the map does not change during the iteration.
    for (const auto &[name, observed] : m_observer.all()) {
        if (!observed.record || observed.record->ended || m_pendingWrites.count(name) > 0
            || !isUnchanged(observed, context.now))
            continue;
        const DaemonIdentity owner{ name, observed.record->incarnation };
        if (owner == m_shared.self || m_givenPromises.promisedUntil(owner) > context.now)
            continue;
        if (const auto validityEnd = provenValidityEnd(owner, observed, context.now))
            startTakeOver(owner, observed, *validityEnd, context);
        else
            requestWaiver(owner, observed, context);
    }
}

bool TakeOver::isUnchanged(const Observer::ObservedRecord &observed, TimePoint now) const
{
    const auto &settings = m_shared.settings;
    return observed.unchangedSince
        && now - *observed.unchangedSince >= settings.leaseTime + settings.leaseMargin
        && now - observed.lastReadAt <= maxReadAge;
}

std::optional<TimePoint> TakeOver::provenValidityEnd(const DaemonIdentity &owner,
                                                     const Observer::ObservedRecord &observed,
                                                     TimePoint now) const
{
    const auto &settings = m_shared.settings;
    const auto &successors = observed.record->successors;
    const TimePoint leaseEnd = observed.firstReadAt + settings.leaseTime;
    // Without successors there are no promises, and the validity ends with the lease.
    if (successors.empty())
        return leaseEnd;
    if (std::find(successors.begin(), successors.end(), m_shared.self) != successors.end())
        return std::max(leaseEnd, m_givenPromises.promisedUntil(owner));
    if (hasWaiver(owner, observed))
        return std::max(leaseEnd, m_waivers.at(owner).receivedAt);
    const Duration bound = settings.maxOutageExtension
        + settings.maxOutageExtension / extensionMarginDivisor + settings.leaseMargin;
    if (hasVmEnded(owner, observed) || now - observed.firstReadAt >= bound)
        return now;
    return std::nullopt;
}

bool TakeOver::hasWaiver(const DaemonIdentity &owner,
                         const Observer::ObservedRecord &observed) const
{
    const auto found = m_waivers.find(owner);
    return found != m_waivers.end() && found->second.recordVersion == observed.version;
}

bool TakeOver::hasVmEnded(const DaemonIdentity &owner,
                          const Observer::ObservedRecord &observed) const
{
    const auto found = m_vms.find(owner.name.value());
    // The VM list is delayed: a name may disappear from it after a new VM with the same name has
    // started. The new daemon is then known from its heartbeats.
    return found != m_vms.end() && found->second.missingSince && !m_peers.isAlive(owner.name)
        && observed.incarnationSince <= *found->second.missingSince;
}

void TakeOver::requestWaiver(const DaemonIdentity &owner, const Observer::ObservedRecord &observed,
                             EventContext &context)
{
    auto &requestedAt = m_waiverRequestedAt[owner];
    if (context.now - requestedAt < waiverInterval)
        return;
    requestedAt = context.now;
    for (const auto &successor : observed.record->successors) {
        context.output.perform(
            effect::SendPeer{ successor.name, message::WaiverRequest{ owner, observed.version } });
    }
}

void TakeOver::startTakeOver(const DaemonIdentity &owner, const Observer::ObservedRecord &observed,
                             TimePoint validityEnd, EventContext &context)
{
    context.output.log("taking over from " + owner.text());
    context.output.count("ownership.takeOver");
    m_givenPromises.refuseUpTo(owner, observed.version);
    m_pendingWrites.insert(owner.name);
    DaemonRecord record = *observed.record;
    record.ended = true;
    std::string value = encodeRecord(record);
    m_calls.compareAndSwap(
        daemonKey(owner.name), observed.version, value,
        [this, owner, value, validityEnd](const event::StoreReply &reply,
                                          EventContext &handlerContext) {
            const auto &name = owner.name;
            m_pendingWrites.erase(name);
            // If the result is unknown, the owner may still renew and another daemon may end its
            // record later.
            if (reply.status == event::StoreStatus::Ok)
                m_validityEnds[owner] = validityEnd;
            if (reply.status == event::StoreStatus::Ok)
                m_observer.handleRecord(name, reply.version, value, handlerContext);
            else if (reply.status == event::StoreStatus::Conflict)
                m_observer.handleRecord(name, reply.version, reply.value, handlerContext);
            else
                m_observer.requestRead(daemonKey(name));
        },
        context);
}

void TakeOver::handle(const DaemonIdentity &from, const message::WaiverReply &reply, TimePoint now)
{
    const auto *observed = m_observer.find(reply.owner.name);
    if (!reply.waived || observed == nullptr || !observed->record
        || observed->record->incarnation != reply.owner.incarnation
        || observed->version != reply.recordVersion)
        return;
    const auto &successors = observed->record->successors;
    // Only the incarnation named in the record may waive: a restarted successor does not know the
    // promises of its previous incarnation.
    if (std::find(successors.begin(), successors.end(), from) != successors.end())
        m_waivers[reply.owner] = { reply.recordVersion, now };
}

void TakeOver::handle(const event::VmList &list, TimePoint now)
{
    for (auto &[name, vm] : m_vms)
        vm.listed = false;
    for (const auto &entry : list.entries)
        m_vms[entry.name] = { true, std::nullopt };
    for (auto &[name, vm] : m_vms) {
        if (!vm.listed && !vm.missingSince)
            vm.missingSince = now;
    }
}

std::optional<TimePoint> TakeOver::validityEnd(const DaemonIdentity &identity) const
{
    const auto found = m_validityEnds.find(identity);
    return found == m_validityEnds.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cowsliprock::ownership
