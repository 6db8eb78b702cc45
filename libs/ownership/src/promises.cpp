#include "promises.h"

#include <algorithm>

namespace cowsliprock::ownership {

namespace {

// Allows three requests within the duration of a promise, so that a lost message does not end the
// validity.
constexpr Duration requestInterval = std::chrono::milliseconds(1500);
constexpr std::size_t maxTrackedRequests = 8;

} // namespace

void ReceivedPromises::request(const std::set<DaemonIdentity> &successors,
                               std::uint64_t recordVersion, bool validityExpired,
                               EventContext &context)
{
    if (m_lastRequestAt && context.now - *m_lastRequestAt < requestInterval)
        return;
    m_lastRequestAt = context.now;
    m_requests[++m_sequence] = context.now;
    if (m_requests.size() > maxTrackedRequests)
        m_requests.erase(m_requests.begin());
    const auto oldest = std::min_element(
        successors.begin(), successors.end(),
        [this](const auto &left, const auto &right) { return until(left) < until(right); });
    for (auto successor = successors.begin(); successor != successors.end(); ++successor) {
        if (!validityExpired || successor == oldest)
            context.output.perform(effect::SendPeer{
                successor->name, message::PromiseRequest{ m_sequence, recordVersion } });
    }
}

void ReceivedPromises::handle(const DaemonIdentity &from, const message::PromiseReply &reply)
{
    const auto request = m_requests.find(reply.sequence);
    if (!reply.granted || request == m_requests.end())
        return;
    const TimePoint until =
        request->second + m_shared.settings.leaseTime - m_shared.settings.leaseMargin;
    m_until[from] = std::max(m_until[from], until);
}

void ReceivedPromises::clear()
{
    m_requests.clear();
    m_until.clear();
    m_lastRequestAt.reset();
}

std::optional<TimePoint>
ReceivedPromises::validUntil(const std::set<DaemonIdentity> &successors) const
{
    std::optional<TimePoint> earliest;
    for (const auto &successor : successors) {
        if (m_until.count(successor) == 0)
            return std::nullopt;
        earliest = earliest ? std::min(*earliest, until(successor)) : until(successor);
    }
    return earliest;
}

TimePoint ReceivedPromises::until(const DaemonIdentity &successor) const
{
    const auto found = m_until.find(successor);
    return found == m_until.end() ? TimePoint{} : found->second;
}

bool GivenPromises::grant(const DaemonIdentity &owner, std::uint64_t requestVersion,
                          std::uint64_t knownVersion, bool ended, TimePoint now)
{
    auto &state = m_owners[owner];
    // A newer version claimed by the owner is sufficient: a take-over based on the older version
    // fails.
    if (ended || std::max(requestVersion, knownVersion) <= state.refusedVersion)
        return false;
    state.promisedUntil = now + m_shared.settings.leaseTime;
    return true;
}

bool GivenPromises::waive(const DaemonIdentity &owner, std::uint64_t recordVersion, TimePoint now)
{
    if (promisedUntil(owner) > now)
        return false;
    refuseUpTo(owner, recordVersion);
    return true;
}

void GivenPromises::refuseUpTo(const DaemonIdentity &owner, std::uint64_t recordVersion)
{
    auto &state = m_owners[owner];
    state.refusedVersion = std::max(state.refusedVersion, recordVersion);
}

TimePoint GivenPromises::promisedUntil(const DaemonIdentity &owner) const
{
    const auto found = m_owners.find(owner);
    return found == m_owners.end() ? TimePoint{} : found->second.promisedUntil;
}

} // namespace cowsliprock::ownership
