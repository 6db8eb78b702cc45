#include "observer.h"

#include <algorithm>

namespace cowsliprock::ownership {

namespace {

constexpr Duration minReadInterval = std::chrono::seconds(1);
// In a region with 9 daemons and 3 data centres these periods amount to 1.8 reads per second;
// minReadInterval then lengthens all of them proportionally.
constexpr Duration ownershipPeriod = std::chrono::seconds(4);
constexpr Duration changingOwnershipPeriod = std::chrono::seconds(2);
constexpr Duration suspectedPeriod = std::chrono::seconds(1);
constexpr Duration namedPeriod = std::chrono::seconds(4);
constexpr Duration lowPeriod = std::chrono::seconds(15);

Duration pollPeriod(Observer::PollPriority pollPriority) noexcept
{
    switch (pollPriority) {
    case Observer::PollPriority::Suspected:
        return suspectedPeriod;
    case Observer::PollPriority::Named:
        return namedPeriod;
    default:
        return lowPeriod;
    }
}

} // namespace

void Observer::setPollPriority(const DaemonName &name, PollPriority pollPriority)
{
    const auto key = daemonKey(name);
    if (pollPriority == PollPriority::None) {
        m_targets.erase(key);
        return;
    }
    auto &target = m_targets[key];
    target.daemon = name;
    target.period = pollPeriod(pollPriority);
}

void Observer::watchDataCentre(const std::string &dataCentre)
{
    auto &target = m_targets[ownershipKey(dataCentre)];
    target.dataCentre = dataCentre;
    target.period = ownershipPeriod;
}

void Observer::setOwnershipChanging(bool changing)
{
    for (auto &[key, target] : m_targets) {
        if (!target.daemon)
            target.period = changing ? changingOwnershipPeriod : ownershipPeriod;
    }
}

void Observer::requestRead(const std::string &key)
{
    if (const auto found = m_targets.find(key); found != m_targets.end())
        found->second.readRequested = true;
}

void Observer::tick(EventContext &context)
{
    // First reads and requested reads are not subject to the minimum interval.
    const auto unread = std::find_if(m_targets.begin(), m_targets.end(), [](const auto &item) {
        return !item.second.readPending && (!item.second.requestedAt || item.second.readRequested);
    });
    if (unread != m_targets.end())
        return read(unread->first, context);
    if (context.now - m_lastReadAt < minReadInterval)
        return;
    if (const auto key = mostOverdueKey(context.now); !key.empty())
        read(key, context);
}

std::string Observer::mostOverdueKey(TimePoint now) const
{
    std::string result;
    double highest = 1.0;
    for (const auto &[key, target] : m_targets) {
        if (target.readPending || !target.requestedAt)
            continue;
        const double overdue = static_cast<double>((now - *target.requestedAt).count())
            / static_cast<double>(target.period.count());
        if (overdue >= highest) {
            highest = overdue;
            result = key;
        }
    }
    return result;
}

void Observer::read(const std::string &key, EventContext &context)
{
    auto &target = m_targets[key];
    target.readPending = true;
    target.readRequested = false;
    target.requestedAt = context.now;
    m_lastReadAt = context.now;
    m_calls.get(
        key,
        [this, key](const event::StoreReply &reply, EventContext &handlerContext) {
            handleReply(key, reply, handlerContext);
        },
        context);
}

void Observer::handleReply(const std::string &key, const event::StoreReply &reply,
                           EventContext &context)
{
    const auto found = m_targets.find(key);
    if (found == m_targets.end())
        return;
    found->second.readPending = false;
    if (reply.status == event::StoreStatus::Unavailable) {
        // After an outage every owner gets time to renew its lease before it is taken over.
        for (auto &[name, observed] : m_daemons)
            observed.unchangedSince.reset();
        return;
    }
    const Target target = found->second;
    const bool absent = reply.status == event::StoreStatus::NotFound;
    if (target.daemon)
        return handleRecord(*target.daemon, absent ? 0 : reply.version, reply.value, context);
    if (absent)
        return m_listener.ownershipRead(target.dataCentre, 0, {}, context);
    if (const auto decoded = decodeOwnershipRecord(reply.value))
        m_listener.ownershipRead(target.dataCentre, reply.version, decoded.value(), context);
    else
        context.output.count("ownership.malformedRecord");
}

void Observer::handleRecord(const DaemonName &name, std::uint64_t version, const std::string &value,
                            EventContext &context)
{
    auto &observed = m_daemons[name];
    if (version != 0 && version < observed.version)
        return;
    observed.lastReadAt = context.now;
    if (version != observed.version) {
        observed.version = version;
        observed.firstReadAt = context.now;
        observed.unchangedSince = context.now;
        const auto decoded = decodeDaemonRecord(value);
        if (!decoded && version != 0)
            context.output.count("ownership.malformedRecord");
        const bool sameIncarnation = decoded && observed.record
            && observed.record->incarnation == decoded.value().incarnation;
        if (!sameIncarnation) {
            observed.incarnationSince = context.now;
            observed.endedSince.reset();
        }
        observed.record = decoded ? std::optional(decoded.value()) : std::nullopt;
        if (observed.record && observed.record->ended && !observed.endedSince)
            observed.endedSince = context.now;
    } else if (!observed.unchangedSince) {
        observed.unchangedSince = context.now;
    }
    m_listener.daemonRecordRead(name, observed, context);
}

const Observer::ObservedRecord *Observer::find(const DaemonName &name) const
{
    const auto found = m_daemons.find(name);
    return found == m_daemons.end() ? nullptr : &found->second;
}

std::optional<TimePoint> Observer::endedSince(const DaemonIdentity &identity) const
{
    const auto *observed = find(identity.name);
    if (observed == nullptr || !observed->record)
        return std::nullopt;
    if (observed->record->incarnation > identity.incarnation)
        return observed->incarnationSince;
    if (observed->record->incarnation == identity.incarnation)
        return observed->endedSince;
    return std::nullopt;
}

} // namespace cowsliprock::ownership
