#pragma once

#include "context.h"
#include "storecalls.h"

#include <ownership/records.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cowsliprock::ownership {

/// Reads the records of other daemons and of the data centres at a bounded rate.
class Observer
{
public:
    /// What is known of a daemon's record.
    struct Observed
    {
        std::uint64_t version = 0; ///< 0: never read or absent.
        std::optional<DaemonRecord> record;
        TimePoint firstReadAt;                ///< First read of this version.
        std::optional<TimePoint> steadySince; ///< As firstReadAt, but begins anew after a
                                              ///< read failed.
        std::optional<TimePoint> endedSince;  ///< When the record was first seen ended.
        TimePoint incarnationSince;           ///< First read of this incarnation.
        TimePoint lastReadAt;
    };

    class Listener
    {
    public:
        virtual ~Listener() = default;
        virtual void daemonRecordRead(const DaemonName &name, const Observed &observed,
                                      EventContext &context) = 0;
        virtual void ownershipRead(const std::string &dataCentre, std::uint64_t version,
                                   const OwnershipRecord &record, EventContext &context) = 0;
    };

    /// How often a daemon's record is read.
    enum class Interest {
        None,
        Low,      ///< Any daemon of the region.
        Named,    ///< A daemon that names this one as its successor.
        Suspected ///< A daemon that may have to be taken over, or this daemon's own record.
    };

    Observer(StoreCalls &calls, Listener &listener) noexcept
        : m_calls(calls)
        , m_listener(listener)
    { }

    void setInterest(const DaemonName &name, Interest interest);
    void watchDataCentre(const std::string &dataCentre);
    /// Reads the ownership records more often while partitions change hands.
    void setChanging(bool changing);
    void readSoon(const std::string &key);
    void tick(EventContext &context);

    /// Takes in a record that was learnt by a read or from the reply to a write.
    void record(const DaemonName &name, std::uint64_t version, const std::string &value,
                EventContext &context);

    [[nodiscard]] const std::map<DaemonName, Observed> &all() const noexcept { return m_daemons; }
    [[nodiscard]] const Observed *find(const DaemonName &name) const;

    /// Since when the incarnation is known to have ended; nothing if it is not known to.
    [[nodiscard]] std::optional<TimePoint> endedSince(const DaemonIdentity &identity) const;

private:
    struct Target
    {
        Duration period{ 0 };
        std::optional<TimePoint> readAt; ///< When it was last asked for.
        bool soon = false;
        bool reading = false;
        std::optional<DaemonName> daemon;
        std::string dataCentre; ///< If it is no daemon.
    };

    void read(const std::string &key, EventContext &context);
    void handleReply(const std::string &key, const event::StoreReply &reply, EventContext &context);
    [[nodiscard]] std::string mostOverdue(TimePoint now) const;

    StoreCalls &m_calls;
    Listener &m_listener;
    std::map<std::string, Target> m_targets;
    std::map<DaemonName, Observed> m_daemons;
    TimePoint m_lastReadAt;
};

} // namespace cowsliprock::ownership
