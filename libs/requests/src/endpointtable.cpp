#include "endpointtable.h"

#include <algorithm>

namespace cowsliprock::requests {

namespace {

/// How long an endpoint's announcement that it is leaving overrides contradicting reports, because
/// the worker's report may lag behind the endpoint.
constexpr Duration leavingHoldTime = std::chrono::seconds(30);

constexpr Duration initialBackoff = std::chrono::milliseconds(100);
constexpr std::uint32_t maxBackoffShift = 6; // 6.4 s, slightly more than one poll interval

/// Under steady load a report also counts this daemon's own requests and cannot show that an
/// orphaned request has ended. After this many consecutive inconclusive reports the endpoint
/// receives no requests until a report is conclusive.
constexpr std::uint32_t maxInconclusiveReports = 3;

} // namespace

EndpointTable::EndpointTable(Context &context)
    : m_context(context)
{ }

void EndpointTable::vmList(const event::VmList &list)
{
    m_workers.clear();
    for (const auto &vm : list.entries) {
        if (vm.role == "worker") {
            m_workers[WorkerName(vm.name)] = { partitionOf(
                                                   vm.name, vm.location.dataCentre,
                                                   m_context.settings.partitionsPerDataCentre),
                                               vm.leaving };
        }
    }
    for (auto &[key, endpoint] : m_endpoints) {
        const auto worker = m_workers.find(endpoint.worker);
        if (worker == m_workers.end())
            clearOwnership(endpoint);
        else
            endpoint.workerLeaving = worker->second.leaving;
    }
    removeUnused();
}

void EndpointTable::acquired(const event::PartitionAcquired &partition)
{
    lost(partition.partition);
    m_partitions[partition.partition] = partition.usableFrom;
}

void EndpointTable::lost(const PartitionId &partition)
{
    m_partitions.erase(partition);
    for (auto &[key, endpoint] : m_endpoints) {
        if (endpoint.partition == partition)
            clearOwnership(endpoint);
    }
    removeUnused();
}

void EndpointTable::report(const event::WorkerReport &report)
{
    const auto worker = m_workers.find(report.worker);
    if (worker == m_workers.end())
        return;
    const auto partition = m_partitions.find(worker->second.partition);
    if (partition == m_partitions.end() || report.askedAt < partition->second)
        return;
    // A worker may list a service twice at one address. Callers cannot distinguish these entries,
    // so they are merged.
    std::map<EndpointKey, EndpointReport> merged;
    for (const auto &item : report.endpoints) {
        auto [position, added] = merged.try_emplace({ item.service, item.address }, item);
        if (!added) {
            position->second.slots += item.slots;
            position->second.connections += item.connections;
            position->second.activeRequests += item.activeRequests;
            position->second.leaving = position->second.leaving && item.leaving;
        }
    }
    for (const auto &[key, item] : merged)
        apply(key, item, report, partition->first);
    for (auto &[key, endpoint] : m_endpoints) {
        if (endpoint.worker == report.worker && !merged.contains(key)
            && endpoint.askedAt < report.askedAt)
            clearOwnership(endpoint);
    }
    removeUnused();
}

void EndpointTable::apply(const EndpointKey &key, const EndpointReport &report,
                          const event::WorkerReport &source, const PartitionId &partition)
{
    Endpoint &endpoint = m_endpoints[key];
    if (endpoint.owned && source.askedAt <= endpoint.askedAt)
        return;
    updateOrphaned(endpoint, report, source.askedAt);
    endpoint.worker = source.worker;
    endpoint.partition = partition;
    endpoint.reportedSlots = report.slots;
    endpoint.reportedConnections = report.connections;
    endpoint.leaving =
        report.leaving || (endpoint.leaving && source.askedAt < endpoint.leavingUntil);
    endpoint.workerLeaving = m_workers.at(source.worker).leaving;
    endpoint.unreachable = false;
    endpoint.owned = true;
    endpoint.askedAt = source.askedAt;
}

void EndpointTable::updateOrphaned(Endpoint &endpoint, const EndpointReport &report,
                                   TimePoint askedAt)
{
    const auto firstResolved =
        std::partition(endpoint.unknownAt.begin(), endpoint.unknownAt.end(),
                       [askedAt](TimePoint unknownAt) { return unknownAt >= askedAt; });
    const auto candidates = endpoint.orphaned
        + static_cast<std::uint32_t>(std::distance(firstResolved, endpoint.unknownAt.end()));
    endpoint.unknownAt.erase(firstResolved, endpoint.unknownAt.end());
    // The first report may count requests of an earlier owner. Later reports can only reduce the
    // number of orphaned requests: at most as many are running as the report counts.
    endpoint.orphaned =
        endpoint.owned ? std::min(candidates, report.activeRequests) : report.activeRequests;
    const bool clear = endpoint.inProgress == 0 && endpoint.lastEnd < askedAt;
    endpoint.inconclusiveReports =
        clear || endpoint.orphaned == 0 ? 0 : endpoint.inconclusiveReports + 1;
    endpoint.awaitsConclusiveReport = endpoint.inconclusiveReports >= maxInconclusiveReports;
}

void EndpointTable::unreachable(const WorkerName &worker)
{
    for (auto &[key, endpoint] : m_endpoints) {
        if (endpoint.worker == worker)
            endpoint.unreachable = true;
    }
}

void EndpointTable::clearOwnership(Endpoint &endpoint)
{
    // The first report after the next acquisition counts orphaned requests again.
    endpoint.owned = false;
    endpoint.orphaned = 0;
    endpoint.inconclusiveReports = 0;
    endpoint.awaitsConclusiveReport = false;
}

void EndpointTable::removeUnused()
{
    std::erase_if(m_endpoints, [](const auto &entry) {
        return !entry.second.owned && entry.second.inProgress == 0
            && entry.second.unknownAt.empty();
    });
}

bool EndpointTable::usable(const Endpoint &endpoint) noexcept
{
    return endpoint.owned && !endpoint.leaving && !endpoint.workerLeaving && !endpoint.unreachable
        && !endpoint.awaitsConclusiveReport;
}

std::uint32_t EndpointTable::capacity(const Endpoint &endpoint,
                                      const ServiceDefinition *service) noexcept
{
    std::uint32_t slots = endpoint.reportedSlots;
    std::uint32_t connections = endpoint.reportedConnections;
    if (service != nullptr) {
        slots = std::min(slots, service->slots);
        connections = std::min(connections, service->connections);
    }
    return std::min(slots, connections); // one connection per attempt
}

std::uint32_t EndpointTable::freeSlotsOn(const Endpoint &endpoint,
                                         const ServiceDefinition *service) const noexcept
{
    if (!usable(endpoint) || endpoint.backoffUntil > m_context.now)
        return 0;
    const std::uint32_t limit = capacity(endpoint, service);
    return limit - std::min(limit, endpoint.occupied());
}

template <typename Visitor>
void EndpointTable::forEachEndpoint(const std::string &service, Visitor visitor) const
{
    for (auto entry = m_endpoints.lower_bound({ service, {} });
         entry != m_endpoints.end() && entry->first.service == service; ++entry)
        visitor(entry->first, entry->second);
}

std::optional<std::string> EndpointTable::acquireSlot(const std::string &service,
                                                      const AttemptId &attempt)
{
    const EndpointKey *best = nullptr;
    std::uint32_t mostFree = 0;
    const ServiceDefinition *definition = m_context.service(service);
    std::uint64_t ties = 0;
    forEachEndpoint(service, [&](const EndpointKey &key, const Endpoint &endpoint) {
        const std::uint32_t free = freeSlotsOn(endpoint, definition);
        if (free == 0 || free < mostFree)
            return;
        ties = free == mostFree ? ties + 1 : 1;
        mostFree = free;
        if (ties == 1 || m_context.randomBelow(ties) == 0)
            best = &key;
    });
    if (best == nullptr)
        return std::nullopt;
    ++m_endpoints.at(*best).inProgress;
    m_attempts[attempt] = *best;
    return best->address;
}

std::optional<std::string> EndpointTable::recordOutcome(const event::EndpointReply &reply)
{
    const auto attempt = m_attempts.find(reply.attempt);
    if (attempt == m_attempts.end())
        return std::nullopt;
    Endpoint &endpoint = m_endpoints.at(attempt->second);
    const std::string service = attempt->second.service;
    m_attempts.erase(attempt);
    --endpoint.inProgress;
    endpoint.lastEnd = m_context.now;
    if (reply.leaving) {
        endpoint.leaving = true;
        endpoint.leavingUntil = m_context.now + leavingHoldTime;
    }
    if (reply.outcome == event::EndpointOutcome::Unknown)
        endpoint.unknownAt.push_back(m_context.now);
    if (reply.outcome == event::EndpointOutcome::Answered) {
        endpoint.failures = 0;
    } else if (m_context.now < m_context.validUntil) {
        endpoint.backoffUntil =
            m_context.now + initialBackoff * (1U << std::min(endpoint.failures, maxBackoffShift));
        ++endpoint.failures;
    }
    removeUnused();
    return service;
}

std::uint32_t EndpointTable::freeSlots(const std::string &service) const
{
    std::uint32_t sum = 0;
    const ServiceDefinition *definition = m_context.service(service);
    forEachEndpoint(service, [&](const EndpointKey &, const Endpoint &endpoint) {
        sum += freeSlotsOn(endpoint, definition);
    });
    return sum;
}

std::uint32_t EndpointTable::usableSlots(const std::string &service) const
{
    std::uint32_t sum = 0;
    const ServiceDefinition *definition = m_context.service(service);
    forEachEndpoint(service, [&](const EndpointKey &, const Endpoint &endpoint) {
        if (usable(endpoint))
            sum += capacity(endpoint, definition);
    });
    return sum;
}

std::uint32_t EndpointTable::inProgress() const noexcept
{
    return static_cast<std::uint32_t>(m_attempts.size());
}

std::set<std::string> EndpointTable::services() const
{
    std::set<std::string> names;
    for (const auto &[key, endpoint] : m_endpoints) {
        if (endpoint.owned)
            names.insert(key.service);
    }
    return names;
}

} // namespace cowsliprock::requests
