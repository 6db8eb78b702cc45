#include "partitions.h"

#include <algorithm>
#include <memory>

namespace cowsliprock::ownership {

namespace {

constexpr Duration ageStep = std::chrono::hours(1);
// Claims and releases follow from records that are read every few seconds.
constexpr Duration checkInterval = std::chrono::milliseconds(200);

} // namespace

Partitions::Partitions(const Shared &shared, StoreCalls &calls, Observer &observer,
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
    // While the result of a write is unknown, the number of owned partitions is, too.
    if (writing || !areAllKnown() || !conditions.mayWrite
        || context.now - m_checkedAt < checkInterval)
        return;
    m_checkedAt = context.now;
    noteFree(context.now);
    std::set<PartitionId> chosen;
    if (!m_leaving) {
        chosen = choose(context.now);
        rebalance(conditions, context);
    }
    for (auto &[dataCentre, cell] : m_cells)
        update(cell, chosen, conditions, context);
}

void Partitions::update(Cell &cell, const std::set<PartitionId> &chosen,
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
                changed |= raiseAges(entry, holding->second, context.now);
        } else if (chosen.count(partition) > 0) {
            claim(record, cell, index, conditions, context.now);
            changed = true;
        }
    }
    if (changed)
        write(cell, std::move(record), context);
}

bool Partitions::raiseAges(PartitionEntry &entry, Holding &holding, TimePoint now) const
{
    if (holding.state != State::Held || entry.earlier.empty() || now - holding.agedAt < ageStep)
        return false;
    holding.agedAt += ageStep;
    for (auto &earlier : entry.earlier)
        earlier.age += ageStep;
    std::erase_if(entry.earlier, [this](const EarlierOwner &earlier) {
        return earlier.age >= m_shared.settings.identityRetention;
    });
    return true;
}

void Partitions::write(Cell &cell, OwnershipRecord record, EventContext &context)
{
    cell.writing = true;
    const std::string value = encodeRecord(record);
    m_calls.compareAndSwap(
        ownershipKey(cell.dataCentre), cell.version, value,
        [this, dataCentre = cell.dataCentre,
         written = std::move(record)](const event::StoreReply &reply, EventContext &inner) {
            auto &present = m_cells.at(dataCentre);
            present.writing = false;
            if (reply.status == event::StoreStatus::Ok)
                return handleRecord(dataCentre, reply.version, written, inner);
            const auto decoded = decodeOwnershipRecord(reply.value);
            if (reply.status == event::StoreStatus::Conflict && decoded)
                return handleRecord(dataCentre, reply.version, decoded.value(), inner);
            present.known = false;
            m_observer.readSoon(ownershipKey(dataCentre));
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
        auto &seen = m_seen[partitionId(dataCentre, index)];
        if (entry.epoch != seen.epoch)
            seen = { entry.epoch, context.now, std::nullopt };
    }
    reconcile(cell, context);
    raiseOwners(context);
}

void Partitions::reconcile(const Cell &cell, EventContext &context)
{
    for (const auto &[index, entry] : cell.record.partitions) {
        const PartitionId partition = partitionId(cell.dataCentre, index);
        const bool own = entry.owner == m_shared.self && !entry.released;
        const auto holding = m_holdings.find(partition);
        if (holding != m_holdings.end() && (!own || holding->second.epoch != entry.epoch)) {
            if (holding->second.state == State::Held)
                context.output.raise(event::PartitionLost{ partition });
            m_holdings.erase(holding);
        }
        if (own && m_holdings.count(partition) == 0)
            acquire(partition, entry, context);
    }
}

void Partitions::acquire(const PartitionId &partition, const PartitionEntry &entry,
                         EventContext &context)
{
    // Every claim of this incarnation was made by this process, so its time is known.
    const auto claimed = m_claims.find(partition);
    Holding holding;
    holding.epoch = entry.epoch;
    holding.agedAt = context.now;
    holding.usableFrom = claimed != m_claims.end() && claimed->second.epoch == entry.epoch
        ? claimed->second.usableFrom
        : context.now + m_shared.settings.quarantine;
    if (m_leaving) {
        holding.state = State::Releasing;
        holding.releaseAt = holding.usableFrom;
    }
    m_holdings[partition] = holding;
    if (m_leaving)
        return;

    readJournals(partition, entry, context);
}

void Partitions::readJournals(const PartitionId &partition, const PartitionEntry &entry,
                              EventContext &context)
{
    struct Progress
    {
        std::size_t missing = 0;
        std::vector<JournalReader::Entries> journals; ///< In the order of the owners.
    };
    if (entry.earlier.empty())
        return finish(partition, m_shared.self, entry.epoch, {}, context);
    // Shared by the reads of all journals, the last of which finishes.
    const auto progress = std::make_shared<Progress>();
    progress->missing = entry.earlier.size();
    progress->journals.resize(entry.earlier.size());
    for (std::size_t index = 0; index < entry.earlier.size(); ++index) {
        const auto handler = [this, progress, index, partition, self = m_shared.self,
                              epoch = entry.epoch](const JournalReader::Entries &entries,
                                                   EventContext &inner) {
            std::copy_if(entries.begin(), entries.end(),
                         std::back_inserter(progress->journals[index]),
                         [&partition](const auto &item) { return item.partition == partition; });
            if (--progress->missing == 0)
                finish(partition, self, epoch, progress->journals, inner);
        };
        m_journals.read(entry.earlier[index].identity, handler, context);
    }
}

void Partitions::finish(const PartitionId &partition, const DaemonIdentity &self,
                        std::uint64_t epoch, const std::vector<JournalReader::Entries> &journals,
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

void Partitions::raiseOwners(EventContext &context)
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

const PartitionEntry *Partitions::entryOf(const Cell &cell, std::uint32_t index)
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
    for (const auto *peer : m_peers.takingPart())
        daemons.push_back(peer->identity.name);
    return { std::move(daemons), m_cells.size() * m_shared.settings.partitionsPerDataCentre };
}

std::size_t Partitions::countOf(const DaemonName &name) const
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
