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

/// Computes how many partitions of the region each daemon should own.
class FairShare
{
public:
    FairShare(std::vector<DaemonName> daemons, std::size_t partitionCount);

    /// Number of partitions that the daemon should own. The sum over all daemons is the number of
    /// partitions.
    [[nodiscard]] std::size_t partitionsFor(const DaemonName &name) const;
    /// Index of the first partition that the daemon claims. It differs between daemons, so that
    /// daemons that start together claim different partitions.
    [[nodiscard]] std::size_t firstPartitionFor(const DaemonName &name) const;
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
    /// State of other components when an event is handled.
    struct Conditions
    {
        bool canWrite = false; ///< The lease is confirmed and the store is reachable.
        TimePoint validUntil;  ///< End of this daemon's validity.
        std::function<bool(const PartitionId &)> hasPendingEntries;
        /// End of the validity of a daemon whose record this daemon ended.
        std::function<std::optional<TimePoint>(const DaemonIdentity &)> validityEnd;
    };

    Partitions(const SharedState &shared, StoreCalls &calls, Observer &observer,
               const Peers &peers);

    void start(TimePoint now) noexcept { m_startedAt = now; }
    /// Adds a data centre whose partitions this daemon may own, if it is in this region. Those in
    /// the settings are known from the start; the VM list contains only those with workers.
    void addDataCentre(const Location &location);
    void tick(const Conditions &conditions, EventContext &context);
    void handleRecord(const std::string &dataCentre, std::uint64_t version,
                      const OwnershipRecord &record, EventContext &context);

    /// Drops all partitions held, because the lease was lost.
    void loseAll(EventContext &context);

    /// Releases all partitions. Unless \p drained, each partition is released only after the
    /// validity and the quarantine have ended.
    void releaseAll(bool drained, const Conditions &conditions, EventContext &context);

    /// True if no partition remains to be released and no write is outstanding.
    [[nodiscard]] bool hasReleasedAll() const noexcept;

    [[nodiscard]] bool holds(const PartitionId &partition) const;
    [[nodiscard]] std::vector<PartitionId> held() const;
    [[nodiscard]] std::set<DaemonName> knownOwners() const;

    /// Raises OwnersChanged if the owners differ from those last raised.
    void raiseOwnersChanged(EventContext &context);

private:
    enum class State { Acquiring, Held, Releasing };

    struct Holding
    {
        State state = State::Acquiring;
        std::uint64_t epoch = 0;
        TimePoint usableFrom;
        TimePoint releaseAt;
        TimePoint agesAdvancedAt; ///< When the ages of the previous owners were last advanced.
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

    /// First observation of the current epoch of a partition.
    struct ObservedEpoch
    {
        std::uint64_t epoch = 0;
        TimePoint at;
        std::optional<TimePoint> freeSince;
    };

    [[nodiscard]] bool areAllKnown() const noexcept;
    [[nodiscard]] FairShare fairShare() const;
    [[nodiscard]] std::size_t ownedCount(const DaemonName &name) const;
    [[nodiscard]] static const PartitionEntry *findEntry(const Cell &cell, std::uint32_t index);

    // Claims
    [[nodiscard]] bool isFree(const PartitionEntry *entry) const;
    [[nodiscard]] TimePoint usableFrom(const PartitionId &partition, const PartitionEntry *entry,
                                       const Conditions &conditions, TimePoint now) const;
    void updateFreeSince(TimePoint now);
    [[nodiscard]] std::set<PartitionId> chooseClaims(TimePoint now) const;
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
    void updateRecord(Cell &cell, const std::set<PartitionId> &chosen, const Conditions &conditions,
                      EventContext &context);
    [[nodiscard]] bool advanceAges(PartitionEntry &entry, Holding &holding, TimePoint now) const;
    void write(Cell &cell, OwnershipRecord record, EventContext &context);

    // Records
    void reconcile(const Cell &cell, EventContext &context);
    void acquire(const PartitionId &partition, const PartitionEntry &entry, EventContext &context);
    void readJournals(const PartitionId &partition, const PartitionEntry &entry,
                      EventContext &context);
    void completeAcquisition(const PartitionId &partition, const DaemonIdentity &self,
                             std::uint64_t epoch,
                             const std::vector<JournalReader::Entries> &journals,
                             EventContext &context);

    const SharedState &m_shared;
    StoreCalls &m_calls;
    Observer &m_observer;
    const Peers &m_peers;
    JournalReader m_journals;
    TimePoint m_startedAt;
    TimePoint m_lastCheckAt;
    std::map<std::string, Cell> m_cells;
    std::map<PartitionId, Holding> m_holdings;
    std::map<PartitionId, Claim> m_claims;
    std::map<PartitionId, ObservedEpoch> m_observedEpochs;
    std::map<PartitionId, DaemonIdentity> m_owners;
    std::optional<TimePoint> m_imbalanceSince;
    bool m_releasingAll = false;
};

} // namespace cowsliprock::ownership
