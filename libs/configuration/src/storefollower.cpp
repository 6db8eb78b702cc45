#include "storefollower.h"

namespace cowsliprock {

namespace {

using namespace std::chrono_literals;
using Operation = effect::StoreCall::Operation;

/// Delay before retrying an unavailable store and between watches that returned no change.
constexpr Duration retryInterval = 1s;

/// Time that a change may remain a proposal before the whole document is watched. A writer normally
/// marks its change as accepted within milliseconds, so the delay avoids transferring the document.
constexpr Duration proposalTimeout = 1500ms;

} // namespace

void StoreFollower::advance(TimePoint now, Output &output)
{
    if (m_loadNeeded && m_loadCall.empty() && now >= m_nextLoad)
        load(output);
    if (!m_loaded)
        return;
    if (const std::uint64_t next = m_versions.version() + 1; m_changeVersion != next) {
        // Replies to the watch on the previous key are ignored from here on.
        m_changeCall = {};
        m_changeVersion = next;
        m_changeRow = 0;
        m_nextChange = now;
        m_proposedAt.reset();
    }
    if (!m_peers.isWatcher()) {
        m_changeCall = {};
        m_changeVersion = 0;
        return;
    }
    if (m_changeCall.empty() && now >= m_nextChange)
        watchChange(now, output);
    if (m_proposedAt && now - *m_proposedAt >= proposalTimeout && m_currentCall.empty()
        && now >= m_nextCurrent)
        watchCurrent(now, output);
}

bool StoreFollower::handle(const event::StoreReply &reply, TimePoint now, Output &output)
{
    if (reply.call.empty())
        return false;
    if (reply.call == m_loadCall)
        handleLoad(reply, now, output);
    else if (reply.call == m_changeCall)
        handleChange(reply, now, output);
    else if (reply.call == m_currentCall)
        handleCurrent(reply, now, output);
    else
        return false;
    return true;
}

void StoreFollower::load(Output &output)
{
    m_loadCall = m_calls.next();
    output.perform(effect::StoreCall{ m_loadCall, Operation::Get, currentKey, 0, {} });
}

void StoreFollower::watchChange(TimePoint now, Output &output)
{
    m_changeCall = m_calls.next();
    m_nextChange = now + retryInterval;
    output.perform(effect::StoreCall{
        m_changeCall, Operation::Watch, changeKey(m_changeVersion), m_changeRow, {} });
}

void StoreFollower::watchCurrent(TimePoint now, Output &output)
{
    m_currentCall = m_calls.next();
    m_nextCurrent = now + retryInterval;
    output.perform(effect::StoreCall{
        m_currentCall, Operation::Watch, currentKey, m_versions.record().row, {} });
}

void StoreFollower::handleLoad(const event::StoreReply &reply, TimePoint now, Output &output)
{
    m_loadCall = {};
    m_nextLoad = now + retryInterval;
    if (reply.status == event::StoreStatus::Unavailable)
        return;
    m_loaded = true;
    m_loadNeeded = false;
    if (reply.status == event::StoreStatus::Ok)
        adoptStored(m_versions, reply.version, reply.value, output);
}

void StoreFollower::handleChange(const event::StoreReply &reply, TimePoint now, Output &output)
{
    m_changeCall = {};
    if (reply.status != event::StoreStatus::Ok || reply.version == m_changeRow)
        return;
    m_changeRow = reply.version;
    m_nextChange = now;
    const auto change = decodeChange(reply.value);
    if (!change || !change.value().accepted) {
        if (!m_proposedAt)
            m_proposedAt = now;
        return;
    }
    if (m_versions.adopt(change.value()) != VersionKeeper::Outcome::Adopted
        && change.value().version > m_versions.version()) {
        output.count("configuration_mismatches");
        m_proposedAt = now - proposalTimeout;
        requestLoad();
    }
}

void StoreFollower::handleCurrent(const event::StoreReply &reply, TimePoint now, Output &output)
{
    m_currentCall = {};
    if (reply.status != event::StoreStatus::Ok)
        return;
    const StoredState state = adoptStored(m_versions, reply.version, reply.value, output);
    if (state == StoredState::Newer)
        m_nextCurrent = now;
    else if (state == StoredState::Older)
        m_proposedAt.reset(); // A rolled-back store would return the whole document each time.
}

} // namespace cowsliprock
