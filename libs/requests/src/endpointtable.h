#pragma once

#include "context.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::requests {

struct EndpointKey
{
    std::string service;
    std::string address;

    auto operator<=>(const EndpointKey &) const = default;
};

/// State of one endpoint, including the requests that may be running on it.
struct Endpoint
{
    WorkerName worker;
    PartitionId partition;
    std::uint32_t reportedSlots = 0;
    std::uint32_t reportedConnections = 0;
    bool owned = false;         ///< Listed in the last report of a worker of an owned partition.
    bool leaving = false;       ///< Announced by the last report or by the endpoint itself.
    bool workerLeaving = false; ///< Announced by the VM list.
    bool unreachable = false;   ///< The worker did not answer the last poll.
    bool awaitsConclusiveReport = false;   ///< No requests until a report shows what still runs.
    TimePoint leavingUntil;                ///< Reports requested before then do not clear leaving.
    TimePoint backoffUntil;                ///< No requests until then, after failures.
    TimePoint askedAt;                     ///< Request time of the last report.
    TimePoint lastEnd;                     ///< Last end of an attempt of this daemon.
    std::uint32_t failures = 0;            ///< Consecutive failures.
    std::uint32_t inconclusiveReports = 0; ///< Consecutive; could not clear orphaned requests.
    std::uint32_t inProgress = 0;          ///< Attempts of this daemon without an outcome yet.
    std::uint32_t orphaned = 0; ///< Requests that may still run according to the last report: those
                                ///< of an earlier owner and attempts with unknown outcomes.
    std::vector<TimePoint> unknownAt; ///< Unknown outcomes since that report was requested.

    [[nodiscard]] std::uint32_t occupied() const noexcept
    {
        return inProgress + orphaned + static_cast<std::uint32_t>(unknownAt.size());
    }
};

/// Endpoints in the partitions owned by this daemon. The owner sends requests only to these.
class EndpointTable
{
public:
    explicit EndpointTable(Context &context);

    void vmList(const event::VmList &list);
    void acquired(const event::PartitionAcquired &partition);
    void lost(const PartitionId &partition);
    void report(const event::WorkerReport &report);
    void unreachable(const WorkerName &worker);

    /// Reserves a slot and a connection on an endpoint and returns its address, or nothing if none
    /// is free.
    [[nodiscard]] std::optional<std::string> acquireSlot(const std::string &service,
                                                         const AttemptId &attempt);

    /// Records the outcome of an attempt. Returns its service, or nothing for an unknown attempt.
    std::optional<std::string> recordOutcome(const event::EndpointReply &reply);

    [[nodiscard]] std::uint32_t freeSlots(const std::string &service) const;

    /// Total slots of the endpoints that accept requests.
    [[nodiscard]] std::uint32_t usableSlots(const std::string &service) const;
    [[nodiscard]] std::uint32_t inProgress() const noexcept;
    [[nodiscard]] std::set<std::string> services() const;
    [[nodiscard]] std::uint32_t capacity(const EndpointKey &key, const Endpoint &endpoint) const
    {
        return capacity(endpoint, m_context.service(key.service));
    }
    [[nodiscard]] const std::map<EndpointKey, Endpoint> &endpoints() const noexcept
    {
        return m_endpoints;
    }

private:
    struct Worker
    {
        PartitionId partition;
        bool leaving = false;
    };

    using Iterator = std::map<EndpointKey, Endpoint>::iterator;

    [[nodiscard]] static bool usable(const Endpoint &endpoint) noexcept;
    [[nodiscard]] static std::uint32_t capacity(const Endpoint &endpoint,
                                                const ServiceDefinition *service) noexcept;
    [[nodiscard]] std::uint32_t freeSlotsOn(const Endpoint &endpoint,
                                            const ServiceDefinition *service) const noexcept;
    void apply(const EndpointKey &key, const EndpointReport &report,
               const event::WorkerReport &source, const PartitionId &partition);
    void updateOrphaned(Endpoint &endpoint, const EndpointReport &report, TimePoint askedAt);
    void clearOwnership(Endpoint &endpoint);
    void removeUnused();
    template <typename Visitor>
    void forEachEndpoint(const std::string &service, Visitor visitor) const;

    Context &m_context;
    std::map<WorkerName, Worker> m_workers;
    std::map<PartitionId, TimePoint> m_partitions; ///< Owned; reports count from this time.
    std::map<EndpointKey, Endpoint> m_endpoints;
    std::unordered_map<AttemptId, EndpointKey> m_attempts;
};

} // namespace cowsliprock::requests
