#include "journal.h"

#include <ownership/records.h>

#include <algorithm>
#include <numeric>

namespace cowsliprock::ownership {

namespace {

constexpr Duration unsentTimeLimit = std::chrono::seconds(2);
// Keeps the daemon record far below the store's limit of 1 MB for a value.
constexpr std::size_t maxBytesPerWrite = 262'144;

} // namespace

void Journal::append(const event::JournalAppend &request, TimePoint now)
{
    m_waiting.push_back({ request.ticket, request.stage, request.entry.partition,
                          encodeEntry(request.entry), now });
}

std::size_t Journal::countToSend(bool includeNew) const noexcept
{
    if (!includeNew)
        return m_sent;
    std::size_t count = 0;
    for (std::size_t bytes = 0; count < m_waiting.size(); ++count) {
        bytes += m_waiting[count].text.size();
        if (bytes > maxBytesPerWrite)
            break;
    }
    return std::max(count, m_sent);
}

std::vector<std::string> Journal::headWith(std::size_t count, std::size_t dropped) const
{
    std::vector<std::string> head(m_head.begin() + static_cast<std::ptrdiff_t>(dropped),
                                  m_head.end());
    for (std::size_t index = 0; index < count; ++index)
        head.push_back(m_waiting[index].text);
    return head;
}

void Journal::confirm(std::size_t count, std::size_t dropped, EventContext &context)
{
    m_head = headWith(count, dropped);
    m_headBytes =
        std::accumulate(m_head.begin(), m_head.end(), std::size_t{ 0 },
                        [](std::size_t sum, const std::string &text) { return sum + text.size(); });
    for (std::size_t index = 0; index < count; ++index)
        answerFirst(true, context);
    // The other writes expected the same version of the record, so they never take effect.
    m_sent = 0;
}

void Journal::refuseOld(EventContext &context)
{
    const auto firstUnsent = m_waiting.begin() + static_cast<std::ptrdiff_t>(m_sent);
    const auto firstKept =
        std::find_if(firstUnsent, m_waiting.end(), [&context](const Waiting &waiting) {
            return context.now - waiting.since < unsentTimeLimit;
        });
    for (auto waiting = firstUnsent; waiting != firstKept; ++waiting)
        context.output.raise(event::JournalResult{ waiting->ticket, waiting->stage, false });
    m_waiting.erase(firstUnsent, firstKept);
}

void Journal::refuseAll(EventContext &context)
{
    while (!m_waiting.empty())
        answerFirst(false, context);
    m_sent = 0;
    m_head.clear();
    m_headBytes = 0;
}

bool Journal::waitsFor(const PartitionId &partition) const
{
    return std::any_of(m_waiting.begin(), m_waiting.end(), [&partition](const Waiting &waiting) {
        return waiting.partition == partition;
    });
}

void Journal::answerFirst(bool durable, EventContext &context)
{
    const auto &first = m_waiting.front();
    context.output.raise(event::JournalResult{ first.ticket, first.stage, durable });
    m_waiting.pop_front();
}

} // namespace cowsliprock::ownership
