#pragma once

#include "membership.h"
#include "prefixwatch.h"

#include <cell/discovery.h>
#include <cell/ports.h>

#include <base/eventlog.h>
#include <eventloop/timers.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace cowsliprock::cell {

/// Keeps the newest configuration: from the store, or from another daemon while the store does
/// not answer this one. The version never goes back.
class ConfigurationFollower
{
public:
    ConfigurationFollower(StorePort &store, PeerPort &peers, Timers &timers, EventLog &log,
                          Membership &membership, const PlatformRecords &records);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    void start(std::function<void(const CellConfiguration &)> changed);

    [[nodiscard]] const CellConfiguration *current() const noexcept
    {
        return m_current ? &*m_current : nullptr;
    }

    /// The stored text of a configuration that is newer than \p version, for another daemon.
    [[nodiscard]] std::optional<std::string> newerThan(std::uint64_t version) const;

private:
    void apply(const std::string &text, const char *source);
    void checkStore();
    void askPeer();

    PeerPort &m_peers;
    Timers &m_timers;
    EventLog &m_log;
    Membership &m_membership;
    const PlatformRecords &m_records;
    std::function<void(const CellConfiguration &)> m_changed;
    std::optional<CellConfiguration> m_current;
    std::string m_text;
    std::mt19937 m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    PrefixWatch m_watch;
};

} // namespace cowsliprock::cell
