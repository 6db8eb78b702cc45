#include "configurationfollower.h"

#include "peermessages.h"

#include <base/id.h>

#include <iterator>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr PrefixWatch::Options watchOptions{ std::chrono::milliseconds(1200),
                                             std::chrono::milliseconds(10) };
/// Without an answer of the store for this long, other daemons are asked.
constexpr std::chrono::milliseconds storeSilence{ 1800 };
constexpr std::chrono::milliseconds checkInterval{ 500 };
constexpr std::chrono::milliseconds peerTimeout{ 400 };

} // namespace

ConfigurationFollower::ConfigurationFollower(StorePort &store, PeerPort &peers, Timers &timers,
                                             EventLog &log, Membership &membership,
                                             const PlatformRecords &records)
    : m_peers(peers)
    , m_timers(timers)
    , m_log(log)
    , m_membership(membership)
    , m_records(records)
    , m_random(static_cast<std::mt19937::result_type>(stableHash(membership.self().name)))
    , m_watch(store, timers, records.configurationPrefix, watchOptions,
              { [this](const StoreItem &item) {
                   if (item.key == m_records.configurationKey)
                       apply(item.value, "store");
               },
                // The operator replaces the configuration and never removes it.
                [](const std::string &, std::uint64_t) {},
                {},
                {} })
{ }

ConfigurationFollower::~ConfigurationFollower()
{
    *m_alive = false;
}

void ConfigurationFollower::start(std::function<void(const CellConfiguration &)> changed)
{
    m_changed = std::move(changed);
    m_watch.start();
    checkStore();
}

std::optional<std::string> ConfigurationFollower::newerThan(std::uint64_t version) const
{
    if (m_current && m_current->version > version)
        return m_text;
    return std::nullopt;
}

void ConfigurationFollower::apply(const std::string &text, const char *source)
{
    auto configuration = m_records.decodeConfiguration(text);
    if (!configuration) {
        m_log.write(m_timers.now(), "configuration.malformed", { { "source", source } });
        return;
    }
    if (m_current && configuration->version <= m_current->version)
        return;
    m_log.write(m_timers.now(), "configuration.inForce",
                { { "version", configuration->version },
                  { "before", m_current ? m_current->version : 0 },
                  { "source", source },
                  { "queues", static_cast<std::uint64_t>(configuration->queues.size()) } });
    m_current = std::move(configuration);
    m_text = text;
    m_changed(*m_current);
}

void ConfigurationFollower::checkStore()
{
    if (m_timers.now() - m_watch.lastAnswer() > storeSilence)
        askPeer();
    m_timers.after(checkInterval, [this, alive = m_alive] {
        if (*alive)
            checkStore();
    });
}

void ConfigurationFollower::askPeer()
{
    const auto &members = m_membership.members();
    if (members.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, members.size() - 1);
    const auto member = std::next(members.begin(), static_cast<std::ptrdiff_t>(pick(m_random)));
    if (member->first == m_membership.self().name)
        return;
    const std::uint64_t version = m_current ? m_current->version : 0;
    m_peers.call({ member->second.address, "GET", "/peer/configuration/" + std::to_string(version),
                   "", peerTimeout },
                 [this, alive = m_alive](const Result<PeerAnswer> &answer) {
                     if (*alive && answer.has_value() && answer.value().status == statusOk)
                         apply(answer.value().body, "peer");
                 });
}

} // namespace cowsliprock::cell
