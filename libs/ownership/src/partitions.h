#pragma once

#include "context.h"
#include "journalreader.h"
#include "observer.h"
#include "peers.h"
#include "storecalls.h"

#include <ownership/records.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::ownership {

/// Which daemon should own how many partitions of the region.
class FairShare
{
public:
    FairShare(std::vector<DaemonName> daemons, std::size_t partitionCount);

    /// The shares of all daemons add up to the number of partitions.
    [[nodiscard]] std::size_t of(const DaemonName &name) const;
    /// Number of the partition at which the daemon begins to claim, so that daemons that start
    /// together claim different partitions.
    [[nodiscard]] std::size_t firstOf(const DaemonName &name) const;
    [[nodiscard]] const std::vector<DaemonName> &daemons() const noexcept { return m_daemons; }

private:
    [[nodiscard]] std::size_t rankOf(const DaemonName &name) const;

    std::vector<DaemonName> m_daemons; ///< Sorted.
    std::size_t m_partitionCount;
};

/// Claims, holds and releases the partitions of the region's data centres.
class Partitions
{
public:
    /// What is known outside of this class when an event is handled.
    struct Conditions
    {
        bool mayWrite = false; ///< Holds a confirmed lease and reaches the store.
        TimePoint validUntil;  ///< Of this daemon.
        std::function<bool(const PartitionId &)> hasWaitingEntries;
        /// End of the validity of a daemon that this one ended.
        std::function<std::optional<TimePoint>(const DaemonIdentity &)> validityEnd;
    };

    Partitions(const Shared &shared, StoreCalls &calls, Observer &observer, const Peers &peers);

    void start(TimePoint now) noexcept { m_startedAt = now; }
    /// Takes part in owning a data centre, if it is of this region. Those of the settings are known
    /// from the start; the VM list shows those with workers only.
    void addDataCentre(const Location &location);
    void tick(const Conditions &conditions, EventContext &context);
    void handleRecord(const std::string &dataCentre, std::uint64_t version,
                      const OwnershipRecord &record, EventContext &context);

    /// The lease was lost: everything that this daemon held is gone.
    void loseAll(EventContext &context);

    /// Gives everything up. Without \p drained each partition is released only after the validity
    /// and the quarantine have passed.
    void releaseAll(bool drained, const Conditions &conditions, EventContext &context);

    /// True if the store shows no partition that this daemon still has to release.
    [[nodiscard]] bool isReleased() const noexcept;

    [[nodiscard]] bool holds(const PartitionId &partition) const;
    [[nodiscard]] std::vector<PartitionId> held() const;
    [[nodiscard]] std::set<DaemonName> knownOwners() const;

    /// Raises OwnersChanged if the owners differ from those raised last.
    void raiseOwners(EventContext &context);

private:
    enum class State { Acquiring, Held, Releasing };

    struct Holding
    {
        State state = State::Acquiring;
        std::uint64_t epoch = 0;
        TimePoint usableFrom;
        TimePoint releaseAt;
        TimePoint agedAt; ///< When the ages of the earlier owners were last raised.
    };

    struct Claim
    {
        std::uint64_t epoch = 0;
        TimePoint usableFrom;
    };

    struct Cell
    {
        std::string dataCentre;
        bool known = false;
        bool writing = false;
        std::uint64_t version = 0;
        OwnershipRecord record;
    };

    /// When the present epoch of a partition was first seen.
    struct Seen
    {
        std::uint64_t epoch = 0;
        TimePoint at;
        std::optional<TimePoint> freeSince;
    };

    [[nodiscard]] bool areAllKnown() const noexcept;
    [[nodiscard]] FairShare fairShare() const;
    [[nodiscard]] std::size_t countOf(const DaemonName &name) const;
    [[nodiscard]] static const PartitionEntry *entryOf(const Cell &cell, std::uint32_t index);

    // Claims
    [[nodiscard]] bool isFree(const PartitionEntry *entry) const;
    [[nodiscard]] TimePoint usableFrom(const PartitionId &partition, const PartitionEntry *entry,
                                       const Conditions &conditions, TimePoint now) const;
    void noteFree(TimePoint now);
    [[nodiscard]] std::set<PartitionId> choose(TimePoint now) const;
    void claim(OwnershipRecord &record, const Cell &cell, std::uint32_t index,
               const Conditions &conditions, TimePoint now);

    // Releases
    void rebalance(const Conditions &conditions, EventContext &context);
    [[nodiscard]] std::size_t surplus(const FairShare &share, TimePoint now) const;
    void release(const PartitionId &partition, Holding &holding, TimePoint releaseAt,
                 EventContext &context);
    [[nodiscard]] bool isReleaseDue(const PartitionId &partition, const Holding &holding,
                                    const Conditions &conditions, TimePoint now) const;

    // Writes
    void update(Cell &cell, const std::set<PartitionId> &chosen, const Conditions &conditions,
                EventContext &context);
    [[nodiscard]] bool raiseAges(PartitionEntry &entry, Holding &holding, TimePoint now) const;
    void write(Cell &cell, OwnershipRecord record, EventContext &context);

    // Records
    void reconcile(const Cell &cell, EventContext &context);
    void acquire(const PartitionId &partition, const PartitionEntry &entry, EventContext &context);
    void readJournals(const PartitionId &partition, const PartitionEntry &entry,
                      EventContext &context);
    void finish(const PartitionId &partition, const DaemonIdentity &self, std::uint64_t epoch,
                const std::vector<JournalReader::Entries> &journals, EventContext &context);

    const Shared &m_shared;
    StoreCalls &m_calls;
    Observer &m_observer;
    const Peers &m_peers;
    JournalReader m_journals;
    TimePoint m_startedAt;
    TimePoint m_checkedAt;
    std::map<std::string, Cell> m_cells;
    std::map<PartitionId, Holding> m_holdings;
    std::map<PartitionId, Claim> m_claims;
    std::map<PartitionId, Seen> m_seen;
    std::map<PartitionId, DaemonIdentity> m_owners;
    std::optional<TimePoint> m_unevenSince;
    bool m_leaving = false;
};

} // namespace cowsliprock::ownership
