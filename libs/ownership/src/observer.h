#pragma once

#include "context.h"
#include "storecalls.h"

#include <ownership/records.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cowsliprock::ownership {

/// Polls the records of other daemons and of data centres at a bounded rate.
class Observer
{
public:
    /// Latest known state of a daemon's record.
    struct ObservedRecord
    {
        std::uint64_t version = 0; ///< 0 if never read or absent.
        std::optional<DaemonRecord> record;
        TimePoint firstReadAt;                   ///< First read of this version.
        std::optional<TimePoint> unchangedSince; ///< As firstReadAt, but reset by a failed read.
        std::optional<TimePoint> endedSince;     ///< When the record was first seen ended.
        TimePoint incarnationSince;              ///< First read of this incarnation.
        TimePoint lastReadAt;
    };

    class Listener
    {
    public:
        virtual ~Listener() = default;
        virtual void daemonRecordRead(const DaemonName &name, const ObservedRecord &observed,
                                      EventContext &context) = 0;
        virtual void ownershipRead(const std::string &dataCentre, std::uint64_t version,
                                   const OwnershipRecord &record, EventContext &context) = 0;
    };

    /// Determines how often a daemon's record is read.
    enum class PollPriority {
        None,
        Low,      ///< Any other daemon of the region.
        Named,    ///< A daemon that names this one as its successor.
        Suspected ///< A daemon that may have to be taken over, or this daemon's own record.
    };

    Observer(StoreCalls &calls, Listener &listener) noexcept
        : m_calls(calls)
        , m_listener(listener)
    { }

    void setPollPriority(const DaemonName &name, PollPriority pollPriority);
    void watchDataCentre(const std::string &dataCentre);
    /// Shortens the polling period of the ownership records while partitions change owners.
    void setOwnershipChanging(bool changing);
    void requestRead(const std::string &key);
    void tick(EventContext &context);

    /// Handles a record obtained from a read or from the reply to a write.
    void handleRecord(const DaemonName &name, std::uint64_t version, const std::string &value,
                      EventContext &context);

    [[nodiscard]] const std::map<DaemonName, ObservedRecord> &all() const noexcept
    {
        return m_daemons;
    }
    [[nodiscard]] const ObservedRecord *find(const DaemonName &name) const;

    /// Time since which the incarnation is known to have ended; empty if it may still be active.
    [[nodiscard]] std::optional<TimePoint> endedSince(const DaemonIdentity &identity) const;

private:
    struct Target
    {
        Duration period{ 0 };
        std::optional<TimePoint> requestedAt; ///< Time of the last read request.
        bool readRequested = false;
        bool readPending = false;
        std::optional<DaemonName> daemon;
        std::string dataCentre; ///< Set if the target is not a daemon.
    };

    void read(const std::string &key, EventContext &context);
    void handleReply(const std::string &key, const event::StoreReply &reply, EventContext &context);
    [[nodiscard]] std::string mostOverdueKey(TimePoint now) const;

    StoreCalls &m_calls;
    Listener &m_listener;
    std::map<std::string, Target> m_targets;
    std::map<DaemonName, ObservedRecord> m_daemons;
    TimePoint m_lastReadAt;
};

} // namespace cowsliprock::ownership
