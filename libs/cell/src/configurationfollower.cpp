#include "configurationfollower.h"

#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr PrefixWatch::Options watchOptions{ std::chrono::milliseconds(1200),
                                             std::chrono::milliseconds(10) };

} // namespace

ConfigurationFollower::ConfigurationFollower(StorePort &store, Timers &timers, EventLog &log,
                                             const PlatformRecords &records)
    : m_timers(timers)
    , m_log(log)
    , m_records(records)
    , m_watch(store, timers, records.configurationPrefix, watchOptions,
              { [this](const StoreItem &item) {
                   if (item.key == m_records.configurationKey)
                       apply(item.value);
               },
                // The configuration is only ever replaced, never removed.
                [](const std::string &, std::uint64_t) {},
                {},
                {} })
{ }

void ConfigurationFollower::start(std::function<void(const CellConfiguration &)> changed)
{
    m_changed = std::move(changed);
    m_watch.start();
}

void ConfigurationFollower::apply(const std::string &text)
{
    auto configuration = m_records.decodeConfiguration(text);
    if (!configuration) {
        m_log.write(m_timers.now(), "configuration.malformed", {});
        return;
    }
    if (m_current && configuration->version <= m_current->version)
        return;
    m_log.write(m_timers.now(), "configuration.inForce",
                { { "version", configuration->version },
                  { "before", m_current ? m_current->version : 0 },
                  { "queues", static_cast<std::uint64_t>(configuration->queues.size()) } });
    m_current = std::move(configuration);
    m_changed(*m_current);
}

} // namespace cowsliprock::cell
