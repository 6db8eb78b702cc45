#include "owner.h"

#include <requests/reasons.h>

#include <algorithm>

namespace cowsliprock::requests {

namespace {

/// Maximum number of endpoint calls per attempt. Every call but the last is known not to have been
/// executed.
constexpr std::uint32_t maxCalls = 3;

constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
constexpr Duration maxRetryAfter = std::chrono::seconds(30);

} // namespace

Owner::Owner(Context &context)
    : m_context(context)
    , m_endpoints(context)
{ }

void Owner::dispatched(const DaemonIdentity &from, const message::Dispatch &dispatch)
{
    // A duplicate gets no reply: the first copy may have been executed by this or an earlier
    // incarnation of this daemon.
    if (m_context.isForEarlierIncarnation(dispatch.attempt)
        || !m_seenAttempts.add(dispatch.attempt, m_context.now)) {
        m_context.output->count("requests.duplicateDispatches");
        return;
    }
    OwnedRequest request;
    request.attempt = dispatch.attempt;
    request.profile = dispatch.request;
    request.body = dispatch.bodyKey;
    request.from = from;
    request.deadline = m_context.now + dispatch.request.timeLeft;
    if (m_context.draining)
        answer(request, notRun(reason::draining, defaultRetryAfter));
    else
        accept(std::move(request));
}

void Owner::submit(const AttemptId &attempt, const RequestProfile &profile, const BodyKey &body,
                   TimePoint deadline)
{
    OwnedRequest request;
    request.attempt = attempt;
    request.profile = profile;
    request.body = body;
    request.deadline = deadline;
    accept(std::move(request));
}

void Owner::accept(OwnedRequest request)
{
    const std::string service = request.profile.service;
    if (m_context.service(service) == nullptr) {
        refuse(request, reason::noEndpoint);
        return;
    }
    request.arrived = m_context.now;
    request.sequence = ++m_sequence;
    ServiceState &serviceState = state(service);
    if (const char *cause = refusalReason(serviceState, request)) {
        refuse(request, cause);
        return;
    }
    m_context.bodies.retain(request.body);
    enqueue(serviceState, std::move(request));
    startQueued(service, serviceState);
}

const char *Owner::refusalReason(const ServiceState &state, const OwnedRequest &request) const
{
    const std::string &service = request.profile.service;
    if (m_context.now >= m_context.validUntil)
        return reason::ownershipUnconfirmed;
    if (m_endpoints.usableSlots(service) == 0)
        return reason::noEndpoint;
    const std::size_t ahead = state.queue.ahead(request);
    const std::size_t free = m_endpoints.freeSlots(service);
    Duration requiredDuration = state.serviceTime.requiredTime();
    // Slots become free in bursts. Without a reserve of half a service time, more requests were
    // accepted and then refused while waiting (413 instead of 185 in the overload test).
    if (ahead >= free)
        requiredDuration =
            predictedWait(service, state, ahead - free + 1) + state.serviceTime.average() * 3 / 2;
    if (m_context.now + requiredDuration > request.deadline)
        return reason::deadline;
    const std::size_t limit = m_context.service(service)->queueLimit;
    // A full queue drops its last request in favour of one that ranks higher.
    if (state.queue.size() >= limit + free && ahead >= state.queue.size())
        return reason::queueFull;
    return nullptr;
}

void Owner::enqueue(ServiceState &state, OwnedRequest request)
{
    const std::string service = request.profile.service;
    const std::size_t limit = m_context.service(service)->queueLimit;
    state.queue.add(std::move(request));
    if (state.queue.size() <= limit + m_endpoints.freeSlots(service))
        return;
    const OwnedRequest last = state.queue.popLast();
    refuse(last, reason::queueFull);
    m_context.bodies.release(last.body, *m_context.output);
}

void Owner::startQueued()
{
    for (auto &[service, serviceState] : m_services)
        startQueued(service, serviceState);
}

void Owner::startQueued(const std::string &service, ServiceState &state)
{
    while (!state.queue.empty()) {
        if (m_context.now >= m_context.validUntil || m_endpoints.usableSlots(service) == 0) {
            refuseUnservable(service, state);
            return;
        }
        if (m_endpoints.freeSlots(service) == 0)
            return;
        OwnedRequest request = state.queue.popFirst();
        if (m_context.now + state.serviceTime.requiredTime() > request.deadline) {
            refuse(request, reason::deadline);
            m_context.bodies.release(request.body, *m_context.output);
        } else if (const auto address = m_endpoints.acquireSlot(service, request.attempt)) {
            call(std::move(request), *address);
        }
    }
}

void Owner::call(OwnedRequest request, const std::string &address)
{
    const Duration waited = m_context.now - request.arrived;
    request.calledAt = m_context.now;
    ++request.calls;
    request.profile.timeLeft = request.deadline - m_context.now;
    m_context.output->perform(effect::Observe{ "requests.waitingSeconds",
                                               std::chrono::duration<double>(waited).count() });
    m_context.output->perform(effect::CallEndpoint{ request.attempt, address, request.profile,
                                                    request.body, m_context.validUntil });
    const AttemptId attempt = request.attempt;
    m_inFlight.insert_or_assign(attempt, std::move(request));
}

void Owner::endpointReplied(const event::EndpointReply &reply)
{
    const auto found = m_inFlight.find(reply.attempt);
    if (found == m_inFlight.end())
        return;
    OwnedRequest request = std::move(found->second);
    m_inFlight.erase(found);
    m_endpoints.recordOutcome(reply);
    const std::string service = request.profile.service;
    switch (reply.outcome) {
    case event::EndpointOutcome::Answered: {
        const Duration served = m_context.now - request.calledAt;
        state(service).serviceTime.add(served);
        RequestAnswer whole;
        whole.kind = AnswerKind::Whole;
        whole.httpStatus = reply.httpStatus;
        whole.body = reply.body;
        whole.served = served;
        answer(request, std::move(whole));
        m_context.bodies.release(request.body, *m_context.output);
        break;
    }
    case event::EndpointOutcome::Unknown:
        answer(request, unknown(reason::outcomeUnknown));
        m_context.bodies.release(request.body, *m_context.output);
        break;
    case event::EndpointOutcome::NotSent:
    case event::EndpointOutcome::Refused:
        retryCall(std::move(request));
        break;
    }
    startQueued(service, state(service));
}

void Owner::retryCall(OwnedRequest request)
{
    const std::string service = request.profile.service;
    const bool possible = request.calls < maxCalls && m_context.service(service) != nullptr
        && m_context.now + state(service).serviceTime.requiredTime() <= request.deadline;
    if (possible) {
        state(service).queue.add(std::move(request));
        return;
    }
    refuse(request, reason::endpointRefused);
    m_context.bodies.release(request.body, *m_context.output);
}

void Owner::partitionLost(const PartitionId &partition)
{
    m_endpoints.lost(partition);
    startQueued();
}

void Owner::tick()
{
    m_seenAttempts.expire(m_context.now);
    for (auto &[service, serviceState] : m_services) {
        refuseUnservable(service, serviceState);
        startQueued(service, serviceState);
    }
}

void Owner::refuseUnservable(const std::string &service, ServiceState &state)
{
    const bool stopped =
        m_context.now >= m_context.validUntil || m_endpoints.usableSlots(service) == 0;
    const auto refused = state.queue.extractIf([&](const OwnedRequest &request, std::size_t ahead) {
        return stopped
            || m_context.now + predictedWait(service, state, ahead)
                + state.serviceTime.requiredTime()
            > request.deadline;
    });
    for (const auto &request : refused) {
        const char *cause = reason::deadline;
        if (stopped)
            cause = m_context.now >= m_context.validUntil ? reason::ownershipUnconfirmed
                                                          : reason::noEndpoint;
        refuse(request, cause);
        m_context.bodies.release(request.body, *m_context.output);
    }
}

void Owner::refuse(const OwnedRequest &request, const char *reason)
{
    answer(request, notRun(reason, retryAfter(request.profile.service)));
}

void Owner::answer(const OwnedRequest &request, RequestAnswer answer)
{
    if (request.from)
        m_context.send(request.from->name,
                       message::DispatchReply{ request.attempt, answer, {}, {} });
    else
        m_context.reply(OwnerReply{ request.attempt, std::move(answer) });
}

Owner::ServiceState &Owner::state(const std::string &service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        return found->second;
    const ServiceDefinition *definition = m_context.service(service);
    const ServiceTime serviceTime(definition != nullptr ? definition->expectedServiceTime
                                                        : Duration(0));
    return m_services.emplace(service, ServiceState{ {}, serviceTime }).first->second;
}

Duration Owner::predictedWait(const std::string &service, const ServiceState &state,
                              std::size_t ahead) const
{
    const auto slots = std::max<std::int64_t>(1, m_endpoints.usableSlots(service));
    return state.serviceTime.average() * static_cast<std::int64_t>(ahead) / slots;
}

Duration Owner::retryAfter(const std::string &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || m_endpoints.usableSlots(service) == 0)
        return defaultRetryAfter;
    return std::clamp(predictedWait(service, found->second, found->second.queue.size()),
                      minRetryAfter, maxRetryAfter);
}

std::uint32_t Owner::waiting(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : static_cast<std::uint32_t>(found->second.queue.size());
}

LoadSummary Owner::load() const
{
    LoadSummary summary;
    for (const auto &service : m_endpoints.services()) {
        if (m_endpoints.usableSlots(service) > 0) {
            summary.freeSlots[service] = m_endpoints.freeSlots(service);
            summary.waiting[service] = waiting(service);
        }
    }
    return summary;
}

std::vector<event::LateItem> Owner::lateItems() const
{
    std::vector<event::LateItem> items;
    for (const auto &[attempt, request] : m_inFlight) {
        if (request.deadline < m_context.now)
            items.push_back({ attempt.value(), request.profile.service, request.profile.caller,
                              request.deadline });
    }
    return items;
}

bool Owner::idle() const noexcept
{
    return m_inFlight.empty()
        && std::all_of(m_services.begin(), m_services.end(),
                       [](const auto &entry) { return entry.second.queue.empty(); });
}

} // namespace cowsliprock::requests
