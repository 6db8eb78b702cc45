#include "cluster.h"

#include <ownership/records.h>

#include <algorithm>

namespace cowsliprock::test {

namespace {

constexpr Duration quarantine = std::chrono::seconds(8);

} // namespace

void Cluster::observe(std::size_t index, const Event &event)
{
    auto &daemon = m_daemons[index];
    if (const auto *acquired = std::get_if<event::PartitionAcquired>(&event)) {
        auto tenure = std::make_unique<Tenure>();
        tenure->daemon = index;
        tenure->run = daemon.run;
        tenure->incarnation = daemon.identity.incarnation;
        tenure->epoch = acquired->epoch;
        tenure->usableFrom = trueTime(daemon, acquired->usableFrom);
        tenure->validUntil = daemon.validUntil;
        tenure->inherited = acquired->inherited;
        daemon.holds[acquired->partition] = tenure.get();
        recordTrace(m_daemons[index].identity.name.value() + " acquired "
                    + acquired->partition.value());
        checkIdentity(acquired->partition, *tenure);
        // A daemon that does not know yet that its record was ended may finish reading journals
        // after its successor.
        auto &all = m_tenures[acquired->partition];
        const auto later = std::find_if(all.begin(), all.end(), [&tenure](const auto &other) {
            return other->epoch >= tenure->epoch;
        });
        if (later == all.end())
            checkInherited(acquired->partition, *tenure);
        all.insert(later, std::move(tenure));
        checkExclusion(acquired->partition);
    } else if (const auto *lost = std::get_if<event::PartitionLost>(&event)) {
        recordTrace(m_daemons[index].identity.name.value() + " lost " + lost->partition.value());
        if (const auto found = daemon.holds.find(lost->partition); found != daemon.holds.end()) {
            daemon.holds.erase(found);
        } else {
            violation(m_daemons[index].identity.name.value()
                      + " lost a partition that it does not hold");
        }
    } else if (const auto *validity = std::get_if<event::ValidityChanged>(&event)) {
        daemon.validUntil = trueTime(daemon, validity->validUntil);
        daemon.storeReachable = validity->storeReachable;
        for (const auto &[partition, tenure] : daemon.holds) {
            tenure->validUntil = std::max(tenure->validUntil, daemon.validUntil);
            checkExclusion(partition);
        }
    } else if (const auto *result = std::get_if<event::JournalResult>(&event)) {
        daemon.results[result->ticket] = result->durable;
        const auto &entry = m_tickets.at(result->ticket);
        if (result->durable)
            m_durable[entry.partition].insert(entry.identity);
    }
}

void Cluster::checkExclusion(const PartitionId &partition)
{
    const auto &all = m_tenures[partition];
    for (std::size_t later = 1; later < all.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const Tenure &before = *all[earlier];
            const Tenure &after = *all[later];
            // After a drain no quarantine is needed.
            const TimePoint allowed = std::min(before.drainedAt, before.validUntil + quarantine);
            if (after.usableFrom < allowed || after.epoch <= before.epoch)
                violation(partition.value() + " became usable for "
                          + m_daemons[after.daemon].identity.name.value() + " "
                          + std::to_string(Seconds(allowed - after.usableFrom).count())
                          + " s too early after " + m_daemons[before.daemon].identity.name.value());
        }
    }
}

void Cluster::checkIdentity(const PartitionId &partition, const Tenure &tenure)
{
    const auto separator = partition.value().find('/');
    const auto record = ownership::decodeOwnershipRecord(
        m_store.value(ownership::ownershipKey(partition.value().substr(0, separator))));
    const auto index = std::stoul(partition.value().substr(separator + 1));
    const auto &entry = record.value().partitions.at(static_cast<std::uint32_t>(index));
    const DaemonIdentity identity{ m_daemons[tenure.daemon].identity.name, tenure.incarnation };
    if (entry.epoch == tenure.epoch && entry.owner != identity)
        violation(identity.text() + " acquired a partition that belongs to " + entry.owner.text());
}

void Cluster::checkInherited(const PartitionId &partition, const Tenure &tenure)
{
    std::set<std::string> inherited;
    for (const auto &entry : tenure.inherited)
        inherited.insert(entry.identity);
    for (const auto &identity : m_durable[partition]) {
        if (inherited.count(identity) == 0)
            violation(m_daemons[tenure.daemon].identity.name.value() + " did not inherit "
                      + identity);
    }
    for (const auto &[ticket, entry] : m_tickets) {
        for (const auto &daemon : m_daemons) {
            const auto result = daemon.results.find(ticket);
            if (result != daemon.results.end() && !result->second
                && inherited.count(entry.identity) > 0)
                violation(entry.identity + " became durable after it was reported as not durable");
        }
    }
}

} // namespace cowsliprock::test
