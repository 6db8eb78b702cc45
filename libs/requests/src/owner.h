#pragma once

#include "attemptmemory.h"
#include "context.h"
#include "endpointtable.h"
#include "servicetime.h"
#include "waitingqueue.h"

#include <map>
#include <string>
#include <unordered_map>

namespace cowsliprock::requests {

/// Owner role: queues requests, sends them to endpoints of its partitions and replies.
class Owner
{
public:
    explicit Owner(Context &context);

    void dispatched(const DaemonIdentity &from, const message::Dispatch &dispatch);

    /// Accepts or refuses a request from this daemon. The reply is queued as an OwnerReply.
    void submit(const AttemptId &attempt, const RequestProfile &profile, const BodyKey &body,
                TimePoint deadline);

    void endpointReplied(const event::EndpointReply &reply);
    void partitionLost(const PartitionId &partition);
    void tick();

    /// Sends waiting requests to free endpoints.
    void startQueued();

    [[nodiscard]] EndpointTable &endpoints() noexcept { return m_endpoints; }
    [[nodiscard]] const EndpointTable &endpoints() const noexcept { return m_endpoints; }
    [[nodiscard]] std::uint32_t waiting(const std::string &service) const;
    [[nodiscard]] LoadSummary load() const;
    /// Requests running at endpoints past their deadlines.
    [[nodiscard]] std::vector<event::LateItem> lateItems() const;
    [[nodiscard]] bool idle() const noexcept;

private:
    struct ServiceState
    {
        WaitingQueue queue;
        ServiceTime serviceTime;
    };

    void accept(OwnedRequest request);
    [[nodiscard]] const char *refusalReason(const ServiceState &state,
                                            const OwnedRequest &request) const;
    void enqueue(ServiceState &state, OwnedRequest request);
    void startQueued(const std::string &service, ServiceState &state);
    void call(OwnedRequest request, const std::string &address);
    void refuseUnservable(const std::string &service, ServiceState &state);
    void retryCall(OwnedRequest request);
    void refuse(const OwnedRequest &request, const char *reason);
    void answer(const OwnedRequest &request, RequestAnswer answer);
    [[nodiscard]] ServiceState &state(const std::string &service);
    [[nodiscard]] Duration predictedWait(const std::string &service, const ServiceState &state,
                                         std::size_t ahead) const;
    [[nodiscard]] Duration retryAfter(const std::string &service) const;

    Context &m_context;
    EndpointTable m_endpoints;
    AttemptMemory m_seenAttempts;
    std::map<std::string, ServiceState> m_services;
    std::unordered_map<AttemptId, OwnedRequest> m_inFlight;
    std::uint64_t m_sequence = 0;
};

} // namespace cowsliprock::requests
