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

/// One endpoint, with what may be running on it.
struct Endpoint
{
    WorkerName worker;
    PartitionId partition;
    std::uint32_t reportedSlots = 0;
    std::uint32_t reportedConnections = 0;
    bool owned = false;           ///< In the last report of a worker of an owned partition.
    bool leaving = false;         ///< Said by the last report or by the endpoint itself.
    bool workerLeaving = false;   ///< Said by the list of VMs.
    bool unreachable = false;     ///< The worker did not answer the last poll.
    bool settling = false;        ///< Gets no work until a report shows what is left on it.
    TimePoint leavingUntil;       ///< Reports asked earlier do not revoke what the endpoint said.
    TimePoint avoidUntil;         ///< After failures.
    TimePoint askedAt;            ///< Of the last report.
    TimePoint lastEnd;            ///< Of an attempt of this daemon.
    std::uint32_t failures = 0;   ///< In a row.
    std::uint32_t ambiguous = 0;  ///< Reports in a row that could not clear leftovers.
    std::uint32_t inProgress = 0; ///< Attempts of this daemon without an outcome.
    std::uint32_t leftover = 0;   ///< Not known to have ended by the last report: requests of an
                                  ///< earlier owner and attempts with an unknown outcome.
    std::vector<TimePoint> unknownAt; ///< Outcomes that became unknown since that report was asked.

    [[nodiscard]] std::uint32_t occupied() const noexcept
    {
        return inProgress + leftover + static_cast<std::uint32_t>(unknownAt.size());
    }
};

/// Endpoints of the partitions that this daemon owns. The owner gives work to no other endpoint.
class EndpointTable
{
public:
    explicit EndpointTable(Context &context);

    void vmList(const event::VmList &list);
    void acquired(const event::PartitionAcquired &partition);
    void lost(const PartitionId &partition);
    void report(const event::WorkerReport &report);
    void unreachable(const WorkerName &worker);

    /// Occupies a slot and a connection of an endpoint, or nothing if none is free.
    [[nodiscard]] std::optional<std::string> take(const std::string &service,
                                                  const AttemptId &attempt);

    /// Records the outcome of an attempt. Returns the service, or nothing for an unknown attempt.
    std::optional<std::string> ended(const event::EndpointReply &reply);

    [[nodiscard]] std::uint32_t freeSlots(const std::string &service) const;

    /// Slots of the endpoints that get work.
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
    [[nodiscard]] std::uint32_t freeOn(const Endpoint &endpoint,
                                       const ServiceDefinition *service) const noexcept;
    void apply(const EndpointKey &key, const EndpointReport &report,
               const event::WorkerReport &source, const PartitionId &partition);
    void clearLeftovers(Endpoint &endpoint, const EndpointReport &report, TimePoint askedAt);
    void disown(Endpoint &endpoint);
    void removeUnused();
    template <typename Visitor>
    void forService(const std::string &service, Visitor visitor) const;

    Context &m_context;
    std::map<WorkerName, Worker> m_workers;
    std::map<PartitionId, TimePoint>
        m_partitions; ///< Owned, with the time from which reports count.
    std::map<EndpointKey, Endpoint> m_endpoints;
    std::unordered_map<AttemptId, EndpointKey> m_attempts;
};

} // namespace cowsliprock::requests
