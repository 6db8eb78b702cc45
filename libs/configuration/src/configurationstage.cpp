#include "configurationstage.h"

#include "operatorbody.h"

#include <algorithm>
#include <set>

namespace cowsliprock {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// Delay before a missing version is pulled. A push usually arrives earlier and makes the pull
/// unnecessary.
constexpr Duration pullDelay = 100ms;
constexpr Duration pullTimeout = 1s;

/// If the store has not answered within this time after the start, the empty configuration is put
/// in force, but the daemon does not report ready.
constexpr Duration startupTimeout = 2s;

[[nodiscard]] ConfigurationContext makeContext(const KernelSettings &settings)
{
    std::set<std::string> regions{ settings.location.region };
    for (const auto &peer : settings.peers)
        regions.insert(peer.location.region);
    regions.erase("");
    return { { regions.begin(), regions.end() }, settings.placementPolicies };
}

const StageRegistrar registrar(20, "configuration", [](const KernelSettings &settings) {
    return std::make_unique<ConfigurationStage>(settings);
});

} // namespace

ConfigurationStage::ConfigurationStage(const KernelSettings &settings)
    : m_context(makeContext(settings))
    , m_peers(settings)
    , m_follower(m_versions, m_peers, m_calls)
    , m_applyFlow(m_versions, m_calls, settings.self)
{ }

void ConfigurationStage::handle(const Event &event, TimePoint now, Output &output)
{
    if (std::holds_alternative<event::Started>(event)) {
        start(now, output);
    } else if (const auto *reply = std::get_if<event::StoreReply>(&event)) {
        if (!m_follower.handle(*reply, now, output) && !m_applyFlow.handle(*reply, now, output))
            return;
        m_versionSource = {};
    } else if (const auto *received = std::get_if<event::PeerMessage>(&event)) {
        if (!handleMessage(*received, now, output))
            return;
    } else if (const auto *status = std::get_if<event::PeerStatus>(&event)) {
        m_peers.update(*status);
    } else if (const auto *call = std::get_if<event::OperatorCall>(&event)) {
        handleOperator(*call, output);
    } else if (!std::holds_alternative<event::Tick>(event)) {
        return;
    }
    advance(now, output);
}

void ConfigurationStage::start(TimePoint now, Output &output)
{
    m_startedAt = now;
    output.perform(effect::SetReady{ false, "configuration" });
}

void ConfigurationStage::advance(TimePoint now, Output &output)
{
    m_applyFlow.advance(now, output);
    if (m_applyFlow.takeUnresolved())
        m_follower.requestLoad();
    m_follower.advance(now, output);
    const bool startupTimedOut = m_startedAt && now - *m_startedAt >= startupTimeout;
    if (m_versions.version() > 0 || m_follower.loaded() || startupTimedOut)
        announce(output);
    pullIfBehind(now, output);
    reportReadiness(output);
}

void ConfigurationStage::announce(Output &output)
{
    if (m_announcedVersion && *m_announcedVersion >= m_versions.version())
        return;
    m_announcedVersion = m_versions.version();
    output.raise(event::ConfigurationInForce{ m_versions.inForce() });
    if (m_versions.version() == 0)
        return;
    output.count("configuration_changes");
    output.log("configuration version " + std::to_string(m_versions.version()) + " is in force");
    pushToPeers(output);
}

void ConfigurationStage::pushToPeers(Output &output) const
{
    // A peer of this region has already pushed its version to the whole region.
    if (!m_versionSource.empty() && !m_peers.isInOtherRegion(m_versionSource))
        return;
    auto targets = m_peers.livePeersInRegion();
    // Other regions have their own watchers; pushing to them covers a store that fails right after
    // the commit.
    if (m_applyFlow.acceptedVersion() == m_versions.version()) {
        for (auto &name : m_peers.livePeersInOtherRegions())
            targets.push_back(std::move(name));
    }
    const auto push = m_versions.newestChange();
    if (push.patches.empty())
        return;
    for (const auto &name : targets)
        output.perform(effect::SendPeer{ name, push });
}

void ConfigurationStage::pullIfBehind(TimePoint now, Output &output)
{
    if (m_peers.highestVersion() <= std::max(m_versions.version(), m_unreadableVersion)) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const bool pullPending = m_pulledAt && now - *m_pulledAt < pullTimeout;
    if (pullPending || now - *m_behindSince < pullDelay)
        return;
    if (const auto peer = m_peers.findNewerPeer(m_versions.version(), m_pulledFrom))
        pull(*peer, m_versions.version(), now, output);
}

void ConfigurationStage::pull(const DaemonName &from, std::uint64_t haveVersion, TimePoint now,
                              Output &output)
{
    m_pulledAt = now;
    m_pulledFrom = from;
    output.perform(effect::SendPeer{ from, message::ConfigurationPull{ haveVersion } });
}

bool ConfigurationStage::handleMessage(const event::PeerMessage &received, TimePoint now,
                                       Output &output)
{
    const DaemonName &from = received.from.name;
    if (const auto *pulled = std::get_if<message::ConfigurationPull>(&received.message)) {
        if (m_versions.version() > pulled->haveVersion)
            output.perform(effect::SendPeer{ from, m_versions.pushSince(pulled->haveVersion) });
    } else if (const auto *push = std::get_if<message::ConfigurationPush>(&received.message)) {
        handlePush(from, *push, now, output);
    } else {
        return false;
    }
    return true;
}

void ConfigurationStage::handlePush(const DaemonName &from, const message::ConfigurationPush &push,
                                    TimePoint now, Output &output)
{
    const std::uint64_t before = m_versions.version();
    const auto outcome = m_versions.adopt(push);
    if (m_versions.version() > before)
        m_versionSource = from;
    switch (outcome) {
    case VersionKeeper::Outcome::Adopted:
        m_pulledAt.reset();
        break;
    case VersionKeeper::Outcome::Gap:
        pull(from, m_versions.version(), now, output);
        break;
    case VersionKeeper::Outcome::Mismatch:
        output.count("configuration_mismatches");
        if (push.fromVersion > 0)
            pull(from, 0, now, output);
        break;
    case VersionKeeper::Outcome::Unreadable:
        output.count("configuration_unreadable");
        m_unreadableVersion = push.toVersion;
        break;
    case VersionKeeper::Outcome::Older:
        break;
    }
}

void ConfigurationStage::handleOperator(const event::OperatorCall &call, Output &output)
{
    if (call.action == "configuration") {
        output.perform(effect::AnswerOperator{
            call.operation, 200,
            "{\"version\":" + std::to_string(m_versions.version())
                + ",\"document\":" + m_versions.record().document.dump() + "}" });
    } else if (call.action == "configurationValidate") {
        validate(call, output);
    } else if (call.action == "configurationApply") {
        apply(call, output);
    }
}

void ConfigurationStage::validate(const event::OperatorCall &call, Output &output) const
{
    const auto errors = checkDocumentBody(call.body, m_context);
    output.perform(
        effect::AnswerOperator{ call.operation, errors.empty() ? 200 : 422,
                                errors.empty() ? R"({"valid":true})" : encodeErrors(errors) });
}

void ConfigurationStage::apply(const event::OperatorCall &call, Output &output)
{
    ApplyRequest request{ call.operation, 0, {} };
    const auto errors = readApplyBody(call.body, m_context, request);
    if (errors.empty())
        m_applyFlow.add(std::move(request), output);
    else
        output.perform(effect::AnswerOperator{ call.operation, 422, encodeErrors(errors) });
}

void ConfigurationStage::reportReadiness(Output &output)
{
    const bool known = m_follower.loaded() || m_versions.version() > 0;
    if (m_ready || !m_startedAt || !known || m_peers.highestVersion() > m_versions.version())
        return;
    m_ready = true;
    output.perform(effect::SetReady{ true, "configuration" });
}

std::string ConfigurationStage::snapshot() const
{
    return json{
        { "version", m_versions.version() },        { "digest", m_versions.record().digest },
        { "row", m_versions.record().row },         { "watcher", m_peers.isWatcher() },
        { "storeRead", m_follower.loaded() },       { "ready", m_ready },
        { "changesHeld", m_versions.changeCount() }
    }.dump();
}

} // namespace cowsliprock
