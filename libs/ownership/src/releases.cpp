#include "partitions.h"

#include <algorithm>

namespace cowsliprock::ownership {

namespace {

// Within this time after a daemon joins, its heartbeats and the ownership records that it changes
// have been received.
constexpr Duration imbalanceTimeLimit = std::chrono::seconds(5);
// Records of other daemons are read every 15 s; this tolerates one missed read.
constexpr Duration maxRenewalAge = std::chrono::seconds(40);

} // namespace

std::size_t Partitions::surplus(const FairShare &share, TimePoint now) const
{
    const std::size_t owned = ownedCount(m_shared.self.name);
    const std::size_t fair = share.partitionsFor(m_shared.self.name);
    if (owned <= fair)
        return 0;
    std::size_t deficit = 0;
    for (const auto *peer : m_peers.eligiblePeers()) {
        // Only a daemon that can reach the store can claim released partitions.
        const auto *observed = m_observer.find(peer->identity.name);
        const bool renews = observed != nullptr && observed->record && !observed->record->ended
            && observed->record->incarnation == peer->identity.incarnation
            && now - observed->firstReadAt < maxRenewalAge;
        const std::size_t target = share.partitionsFor(peer->identity.name);
        const std::size_t count = ownedCount(peer->identity.name);
        if (renews && count < target)
            deficit += target - count;
    }
    return std::min(owned - fair, deficit);
}

void Partitions::rebalance(const Conditions &conditions, EventContext &context)
{
    const bool anyFree =
        std::any_of(m_observedEpochs.begin(), m_observedEpochs.end(),
                    [](const auto &item) { return item.second.freeSince.has_value(); });
    std::size_t count = anyFree ? 0 : surplus(fairShare(), context.now);
    if (count == 0) {
        m_imbalanceSince.reset();
        return;
    }
    if (!m_imbalanceSince)
        m_imbalanceSince = context.now;
    if (context.now - *m_imbalanceSince < imbalanceTimeLimit)
        return;
    m_imbalanceSince.reset();
    for (auto &[partition, holding] : m_holdings) {
        if (count == 0)
            break;
        if (holding.state != State::Held || holding.usableFrom > context.now)
            continue;
        // Sends in flight end within the quarantine after the current validity.
        release(partition, holding, conditions.validUntil + m_shared.settings.quarantine, context);
        --count;
    }
}

void Partitions::release(const PartitionId &partition, Holding &holding, TimePoint releaseAt,
                         EventContext &context)
{
    if (holding.state == State::Held)
        context.output.raise(event::PartitionLost{ partition });
    holding.state = State::Releasing;
    holding.releaseAt = std::max(releaseAt, holding.usableFrom);
}

void Partitions::releaseAll(bool drained, const Conditions &conditions, EventContext &context)
{
    m_releasingAll = true;
    const TimePoint releaseAt =
        drained ? context.now : conditions.validUntil + m_shared.settings.quarantine;
    for (auto &[partition, holding] : m_holdings) {
        if (holding.state != State::Releasing)
            release(partition, holding, releaseAt, context);
        else if (drained)
            holding.releaseAt = std::max(context.now, holding.usableFrom);
    }
}

bool Partitions::isReleaseDue(const PartitionId &partition, const Holding &holding,
                              const Conditions &conditions, TimePoint now) const
{
    return holding.state == State::Releasing && now >= holding.releaseAt
        && !conditions.hasPendingEntries(partition);
}

bool Partitions::hasReleasedAll() const noexcept
{
    return m_holdings.empty() && std::none_of(m_cells.begin(), m_cells.end(), [](const auto &item) {
               return item.second.writing;
           });
}

} // namespace cowsliprock::ownership
