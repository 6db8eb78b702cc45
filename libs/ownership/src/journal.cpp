#include "journal.h"

#include <ownership/records.h>

#include <algorithm>
#include <numeric>

namespace cowsliprock::ownership {

namespace {

constexpr Duration unsentTimeout = std::chrono::seconds(2);
// Keeps the daemon record well below the store's limit of 1 MB per value.
constexpr std::size_t maxBytesPerWrite = 262'144;

} // namespace

void Journal::append(const event::JournalAppend &request, TimePoint now)
{
    m_pending.push_back({ request.ticket, request.stage, request.entry.partition,
                          encodeEntry(request.entry), now });
}

std::size_t Journal::countToSend(bool includeNew) const noexcept
{
    if (!includeNew)
        return m_sent;
    std::size_t count = 0;
    for (std::size_t bytes = 0; count < m_pending.size(); ++count) {
        bytes += m_pending[count].text.size();
        if (bytes > maxBytesPerWrite)
            break;
    }
    return std::max(count, m_sent);
}

std::vector<std::string> Journal::buildHead(std::size_t count, std::size_t moved) const
{
    std::vector<std::string> head(m_head.begin() + static_cast<std::ptrdiff_t>(moved),
                                  m_head.end());
    for (std::size_t index = 0; index < count; ++index)
        head.push_back(m_pending[index].text);
    return head;
}

void Journal::confirm(std::size_t count, std::size_t moved, EventContext &context)
{
    m_head = buildHead(count, moved);
    m_headBytes =
        std::accumulate(m_head.begin(), m_head.end(), std::size_t{ 0 },
                        [](std::size_t sum, const std::string &text) { return sum + text.size(); });
    for (std::size_t index = 0; index < count; ++index)
        completeFirst(true, context);
    // All other outstanding writes expected the same record version, so none can take effect.
    m_sent = 0;
}

void Journal::rejectExpired(EventContext &context)
{
    const auto firstUnsent = m_pending.begin() + static_cast<std::ptrdiff_t>(m_sent);
    const auto firstKept =
        std::find_if(firstUnsent, m_pending.end(), [&context](const PendingEntry &pending) {
            return context.now - pending.appendedAt < unsentTimeout;
        });
    for (auto pending = firstUnsent; pending != firstKept; ++pending)
        context.output.raise(event::JournalResult{ pending->ticket, pending->stage, false });
    m_pending.erase(firstUnsent, firstKept);
}

void Journal::rejectAll(EventContext &context)
{
    while (!m_pending.empty())
        completeFirst(false, context);
    m_sent = 0;
    m_head.clear();
    m_headBytes = 0;
}

bool Journal::hasPendingFor(const PartitionId &partition) const
{
    return std::any_of(
        m_pending.begin(), m_pending.end(),
        [&partition](const PendingEntry &pending) { return pending.partition == partition; });
}

void Journal::completeFirst(bool durable, EventContext &context)
{
    const auto &first = m_pending.front();
    context.output.raise(event::JournalResult{ first.ticket, first.stage, durable });
    m_pending.pop_front();
}

} // namespace cowsliprock::ownership
