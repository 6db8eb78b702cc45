#include "attemptmemory.h"

namespace cowsliprock::scheduling {

AttemptMemory::Record &AttemptMemory::insertRecord(const AttemptId &attempt, Record record,
                                                   TimePoint now)
{
    while (!m_order.empty()
           && (m_order.front().first + retention < now || m_records.size() >= maximumRecords)) {
        m_records.erase(m_order.front().second);
        m_order.pop_front();
    }
    const auto [iterator, inserted] = m_records.insert_or_assign(attempt, std::move(record));
    if (inserted)
        m_order.emplace_back(now, attempt);
    return iterator->second;
}

AttemptMemory::Record *AttemptMemory::find(const AttemptId &attempt)
{
    const auto iterator = m_records.find(attempt);
    return iterator == m_records.end() ? nullptr : &iterator->second;
}

} // namespace cowsliprock::scheduling
