#pragma once

#include "prefixwatch.h"

#include <cell/discovery.h>
#include <cell/ports.h>

#include <base/eventlog.h>
#include <eventloop/timers.h>

#include <functional>
#include <optional>
#include <string>

namespace cowsliprock::cell {

/// Keeps the latest configuration from the store up to date. Its version never decreases.
class ConfigurationFollower
{
public:
    ConfigurationFollower(StorePort &store, Timers &timers, EventLog &log,
                          const PlatformRecords &records);
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    void start(std::function<void(const CellConfiguration &)> changed);

    [[nodiscard]] const CellConfiguration *current() const noexcept
    {
        return m_current ? &*m_current : nullptr;
    }

private:
    void apply(const std::string &text);

    Timers &m_timers;
    EventLog &m_log;
    const PlatformRecords &m_records;
    std::function<void(const CellConfiguration &)> m_changed;
    std::optional<CellConfiguration> m_current;
    PrefixWatch m_watch;
};

} // namespace cowsliprock::cell
