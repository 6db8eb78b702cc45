#include "partitions.h"

#include <algorithm>
#include <memory>

namespace cowsliprock::ownership {

namespace {

constexpr Duration ageStep = std::chrono::hours(1);
// Claims and releases depend on records that are read only every few seconds.
constexpr Duration checkInterval = std::chrono::milliseconds(200);

} // namespace

Partitions::Partitions(const SharedState &shared, StoreCalls &calls, Observer &observer,
                       const Peers &peers)
    : m_shared(shared)
    , m_calls(calls)
    , m_observer(observer)
    , m_peers(peers)
    , m_journals(shared, calls)
{
    addDataCentre(shared.settings.location);
    for (const auto &peer : shared.settings.peers)
        addDataCentre(peer.location);
}

void Partitions::addDataCentre(const Location &location)
{
    const auto &name = location.dataCentre;
    if (location.region != m_shared.settings.location.region || m_cells.count(name) > 0)
        return;
    m_cells[name].dataCentre = name;
    m_observer.watchDataCentre(name);
}

void Partitions::tick(const Conditions &conditions, EventContext &context)
{
    m_journals.tick(context);
    const bool writing = std::any_of(m_cells.begin(), m_cells.end(),
                                     [](const auto &item) { return item.second.writing; });
    // The number of owned partitions is unknown until the result of a write is known.
    if (writing || !areAllKnown() || !conditions.canWrite
        || context.now - m_lastCheckAt < checkInterval)
        return;
    m_lastCheckAt = context.now;
    updateFreeSince(context.now);
    std::set<PartitionId> chosen;
    if (!m_releasingAll) {
        chosen = chooseClaims(context.now);
        rebalance(conditions, context);
    }
    for (auto &[dataCentre, cell] : m_cells)
        updateRecord(cell, chosen, conditions, context);
}

void Partitions::updateRecord(Cell &cell, const std::set<PartitionId> &chosen,
                              const Conditions &conditions, EventContext &context)
{
    OwnershipRecord record = cell.record;
    bool changed = false;
    for (std::uint32_t index = 0; index < m_shared.settings.partitionsPerDataCentre; ++index) {
        const PartitionId partition = partitionId(cell.dataCentre, index);
        if (const auto holding = m_holdings.find(partition); holding != m_holdings.end()) {
            auto &entry = record.partitions[index];
            if (isReleaseDue(partition, holding->second, conditions, context.now))
                changed = entry.released = true;
            else
                changed |= advanceAges(entry, holding->second, context.now);
        } else if (chosen.count(partition) > 0) {
            claim(record, cell, index, conditions, context.now);
            changed = true;
        }
    }
    if (changed)
        write(cell, std::move(record), context);
}

bool Partitions::advanceAges(PartitionEntry &entry, Holding &holding, TimePoint now) const
{
    if (holding.state != State::Held || entry.previousOwners.empty()
        || now - holding.agesAdvancedAt < ageStep)
        return false;
    holding.agesAdvancedAt += ageStep;
    for (auto &previous : entry.previousOwners)
        previous.age += ageStep;
    std::erase_if(entry.previousOwners, [this](const PreviousOwner &previous) {
        return previous.age >= m_shared.settings.identityRetention;
    });
    return true;
}

void Partitions::write(Cell &cell, OwnershipRecord record, EventContext &context)
{
    cell.writing = true;
    const std::string value = encodeRecord(record);
    m_calls.compareAndSwap(
        ownershipKey(cell.dataCentre), cell.version, value,
        [this, dataCentre = cell.dataCentre, written = std::move(record)](
            const event::StoreReply &reply, EventContext &handlerContext) {
            auto &current = m_cells.at(dataCentre);
            current.writing = false;
            if (reply.status == event::StoreStatus::Ok)
                return handleRecord(dataCentre, reply.version, written, handlerContext);
            const auto decoded = decodeOwnershipRecord(reply.value);
            if (reply.status == event::StoreStatus::Conflict && decoded)
                return handleRecord(dataCentre, reply.version, decoded.value(), handlerContext);
            current.known = false;
            m_observer.requestRead(ownershipKey(dataCentre));
        },
        context);
}

void Partitions::handleRecord(const std::string &dataCentre, std::uint64_t version,
                              const OwnershipRecord &record, EventContext &context)
{
    auto &cell = m_cells.at(dataCentre);
    if (version < cell.version)
        return;
    cell.known = true;
    cell.version = version;
    cell.record = record;
    for (const auto &[index, entry] : record.partitions) {
        auto &observedEpoch = m_observedEpochs[partitionId(dataCentre, index)];
        if (entry.epoch != observedEpoch.epoch)
            observedEpoch = { entry.epoch, context.now, std::nullopt };
    }
    reconcile(cell, context);
    raiseOwnersChanged(context);
}

void Partitions::reconcile(const Cell &cell, EventContext &context)
{
    for (const auto &[index, entry] : cell.record.partitions) {
        const PartitionId partition = partitionId(cell.dataCentre, index);
        const bool isOwn = entry.owner == m_shared.self && !entry.released;
        const auto holding = m_holdings.find(partition);
        if (holding != m_holdings.end() && (!isOwn || holding->second.epoch != entry.epoch)) {
            if (holding->second.state == State::Held)
                context.output.raise(event::PartitionLost{ partition });
            m_holdings.erase(holding);
        }
        if (isOwn && m_holdings.count(partition) == 0)
            acquire(partition, entry, context);
    }
}

void Partitions::acquire(const PartitionId &partition, const PartitionEntry &entry,
                         EventContext &context)
{
    // All claims of this incarnation were made by this process, so m_claims has their times.
    const auto claimed = m_claims.find(partition);
    Holding holding;
    holding.epoch = entry.epoch;
    holding.agesAdvancedAt = context.now;
    holding.usableFrom = claimed != m_claims.end() && claimed->second.epoch == entry.epoch
        ? claimed->second.usableFrom
        : context.now + m_shared.settings.quarantine;
    if (m_releasingAll) {
        holding.state = State::Releasing;
        holding.releaseAt = holding.usableFrom;
    }
    m_holdings[partition] = holding;
    if (m_releasingAll)
        return;

    readJournals(partition, entry, context);
}

void Partitions::readJournals(const PartitionId &partition, const PartitionEntry &entry,
                              EventContext &context)
{
    struct Progress
    {
        std::size_t remaining = 0;
        std::vector<JournalReader::Entries> journals; ///< In the order of the previous owners.
    };
    if (entry.previousOwners.empty())
        return completeAcquisition(partition, m_shared.self, entry.epoch, {}, context);
    // Shared by the reads of all journals; the last one completes the acquisition.
    const auto progress = std::make_shared<Progress>();
    progress->remaining = entry.previousOwners.size();
    progress->journals.resize(entry.previousOwners.size());
    for (std::size_t index = 0; index < entry.previousOwners.size(); ++index) {
        const auto handler = [this, progress, index, partition, self = m_shared.self,
                              epoch = entry.epoch](const JournalReader::Entries &entries,
                                                   EventContext &handlerContext) {
            std::copy_if(entries.begin(), entries.end(),
                         std::back_inserter(progress->journals[index]),
                         [&partition](const auto &item) { return item.partition == partition; });
            if (--progress->remaining == 0)
                completeAcquisition(partition, self, epoch, progress->journals, handlerContext);
        };
        m_journals.read(entry.previousOwners[index].identity, handler, context);
    }
}

void Partitions::completeAcquisition(const PartitionId &partition, const DaemonIdentity &self,
                                     std::uint64_t epoch,
                                     const std::vector<JournalReader::Entries> &journals,
                                     EventContext &context)
{
    const auto found = m_holdings.find(partition);
    if (self != m_shared.self || found == m_holdings.end() || found->second.epoch != epoch
        || found->second.state != State::Acquiring)
        return;
    found->second.state = State::Held;
    event::PartitionAcquired acquired{ partition, epoch, found->second.usableFrom, {} };
    for (const auto &journal : journals)
        acquired.inherited.insert(acquired.inherited.end(), journal.begin(), journal.end());
    context.output.raise(std::move(acquired));
}

void Partitions::loseAll(EventContext &context)
{
    for (const auto &[partition, holding] : m_holdings) {
        if (holding.state == State::Held)
            context.output.raise(event::PartitionLost{ partition });
    }
    m_holdings.clear();
    m_claims.clear();
}

void Partitions::raiseOwnersChanged(EventContext &context)
{
    std::map<PartitionId, DaemonIdentity> owners;
    for (const auto &[dataCentre, cell] : m_cells) {
        for (const auto &[index, entry] : cell.record.partitions) {
            if (!entry.released)
                owners.emplace(partitionId(dataCentre, index), entry.owner);
        }
    }
    m_peers.addFarOwners(owners);
    if (owners == m_owners)
        return;
    m_owners = std::move(owners);
    context.output.raise(event::OwnersChanged{ m_owners });
}

const PartitionEntry *Partitions::findEntry(const Cell &cell, std::uint32_t index)
{
    const auto found = cell.record.partitions.find(index);
    return found == cell.record.partitions.end() ? nullptr : &found->second;
}

bool Partitions::areAllKnown() const noexcept
{
    return std::all_of(m_cells.begin(), m_cells.end(),
                       [](const auto &item) { return item.second.known; });
}

FairShare Partitions::fairShare() const
{
    std::vector<DaemonName> daemons{ m_shared.self.name };
    for (const auto *peer : m_peers.eligiblePeers())
        daemons.push_back(peer->identity.name);
    return { std::move(daemons), m_cells.size() * m_shared.settings.partitionsPerDataCentre };
}

std::size_t Partitions::ownedCount(const DaemonName &name) const
{
    if (name == m_shared.self.name) {
        return static_cast<std::size_t>(
            std::count_if(m_holdings.begin(), m_holdings.end(),
                          [](const auto &item) { return item.second.state != State::Releasing; }));
    }
    return static_cast<std::size_t>(
        std::count_if(m_owners.begin(), m_owners.end(),
                      [&name](const auto &item) { return item.second.name == name; }));
}

bool Partitions::holds(const PartitionId &partition) const
{
    const auto found = m_holdings.find(partition);
    return found != m_holdings.end() && found->second.state == State::Held;
}

std::vector<PartitionId> Partitions::held() const
{
    std::vector<PartitionId> result;
    for (const auto &[partition, holding] : m_holdings) {
        if (holding.state == State::Held)
            result.push_back(partition);
    }
    return result;
}

std::set<DaemonName> Partitions::knownOwners() const
{
    std::set<DaemonName> result;
    for (const auto &[partition, owner] : m_owners)
        result.insert(owner.name);
    return result;
}

} // namespace cowsliprock::ownership
