#include "partitions.h"

#include <algorithm>

namespace cowsliprock::ownership {

namespace {

// Heartbeats and ownership records of a join arrive within this time.
constexpr Duration unevenTimeLimit = std::chrono::seconds(5);
// Records of other daemons are read every 15 s; one missed read is tolerated.
constexpr Duration recentRenewal = std::chrono::seconds(40);

} // namespace

std::size_t Partitions::surplus(const FairShare &share, TimePoint now) const
{
    const std::size_t own = countOf(m_shared.self.name);
    const std::size_t fair = share.of(m_shared.self.name);
    if (own <= fair)
        return 0;
    std::size_t missing = 0;
    for (const auto *peer : m_peers.takingPart()) {
        // Only a daemon that reaches the store can claim what is released.
        const auto *observed = m_observer.find(peer->identity.name);
        const bool renews = observed != nullptr && observed->record && !observed->record->ended
            && observed->record->incarnation == peer->identity.incarnation
            && now - observed->firstReadAt < recentRenewal;
        const std::size_t target = share.of(peer->identity.name);
        const std::size_t count = countOf(peer->identity.name);
        if (renews && count < target)
            missing += target - count;
    }
    return std::min(own - fair, missing);
}

void Partitions::rebalance(const Conditions &conditions, EventContext &context)
{
    const bool anyFree = std::any_of(m_seen.begin(), m_seen.end(), [](const auto &item) {
        return item.second.freeSince.has_value();
    });
    std::size_t count = anyFree ? 0 : surplus(fairShare(), context.now);
    if (count == 0) {
        m_unevenSince.reset();
        return;
    }
    if (!m_unevenSince)
        m_unevenSince = context.now;
    if (context.now - *m_unevenSince < unevenTimeLimit)
        return;
    m_unevenSince.reset();
    for (auto &[partition, holding] : m_holdings) {
        if (count == 0)
            break;
        if (holding.state != State::Held || holding.usableFrom > context.now)
            continue;
        // Sends that are on their way end within the quarantine after the present validity.
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
    m_leaving = true;
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
        && !conditions.hasWaitingEntries(partition);
}

bool Partitions::isReleased() const noexcept
{
    return m_holdings.empty() && std::none_of(m_cells.begin(), m_cells.end(), [](const auto &item) {
               return item.second.writing;
           });
}

} // namespace cowsliprock::ownership
