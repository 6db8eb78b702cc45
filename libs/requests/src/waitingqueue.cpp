#include "waitingqueue.h"

#include <iterator>
#include <utility>

namespace cowsliprock::requests {

void WaitingQueue::add(OwnedRequest request)
{
    const Rank rank = rankOf(request);
    m_requests.emplace(rank, std::move(request));
}

OwnedRequest WaitingQueue::popFirst()
{
    return std::move(m_requests.extract(m_requests.begin()).mapped());
}

OwnedRequest WaitingQueue::popLast()
{
    return std::move(m_requests.extract(std::prev(m_requests.end())).mapped());
}

std::size_t WaitingQueue::ahead(const OwnedRequest &request) const
{
    // Linear time, bounded by the queue limit of the service.
    return static_cast<std::size_t>(
        std::distance(m_requests.begin(), m_requests.lower_bound(rankOf(request))));
}

std::vector<OwnedRequest>
WaitingQueue::extractIf(const std::function<bool(const OwnedRequest &, std::size_t)> &predicate)
{
    std::vector<OwnedRequest> extracted;
    std::size_t kept = 0;
    for (auto position = m_requests.begin(); position != m_requests.end();) {
        if (predicate(position->second, kept)) {
            extracted.push_back(std::move(position->second));
            position = m_requests.erase(position);
        } else {
            ++kept;
            ++position;
        }
    }
    return extracted;
}

} // namespace cowsliprock::requests
