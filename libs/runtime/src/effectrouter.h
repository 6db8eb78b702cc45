#pragma once

#include "bodystore.h"
#include "httpservice.h"
#include "peertransport.h"
#include "workpool.h"

#include <kernel/effects.h>
#include <kernel/events.h>

#include <atomic>
#include <optional>

namespace cowsliprock {

/// A call of an endpoint together with the request body.
struct EndpointCall
{
    effect::CallEndpoint call;
    BodyPointer body;
};

using WorkerCall = std::variant<effect::PollWorker, effect::StartTask, effect::StopTask>;

/// Hands each effect of the kernel to the duty that performs it. Runs in the kernel's thread, so
/// it never waits: when a duty's ring is full, the effect fails at once with an event that says
/// that nothing was sent.
class EffectRouter
{
public:
    struct Duties
    {
        WorkPool<effect::StoreCall> *store = nullptr;
        WorkPool<effect::StoreCall> *watch = nullptr;
        WorkPool<WorkerCall> *workers = nullptr;
        WorkPool<EndpointCall> *endpoints = nullptr;
        PeerTransport *peers = nullptr;
        HttpService *http = nullptr;
    };

    EffectRouter(DaemonIdentity self, BodyStore &bodies, Metrics &metrics, const Clock &clock)
        : m_self(std::move(self))
        , m_bodies(bodies)
        , m_metrics(metrics)
        , m_clock(clock)
    { }

    /// Must be called before the kernel starts.
    void connect(const Duties &duties) noexcept { m_duties = duties; }

    [[nodiscard]] std::optional<Event> perform(Effect &effect);
    [[nodiscard]] bool exitRequested() const noexcept { return m_exit; }

private:
    std::optional<Event> perform(effect::StoreCall &call);
    std::optional<Event> perform(effect::SendPeer &send);
    std::optional<Event> perform(effect::AnswerCaller &answer);
    std::optional<Event> perform(effect::AnswerOperator &answer);
    std::optional<Event> perform(effect::CallEndpoint &call);
    std::optional<Event> perform(effect::ForgetBody &forget);
    std::optional<Event> perform(effect::PollWorker &poll);
    std::optional<Event> perform(effect::StartTask &start);
    std::optional<Event> perform(effect::StopTask &stop);
    std::optional<Event> perform(effect::Count &count);
    std::optional<Event> perform(effect::Observe &observation);
    std::optional<Event> perform(effect::LogChange &change);
    std::optional<Event> perform(effect::SetReady &readiness);
    std::optional<Event> perform(effect::SetIncarnation &change);
    std::optional<Event> perform(effect::Exit &exit);

    DaemonIdentity m_self;
    BodyStore &m_bodies;
    Metrics &m_metrics;
    const Clock &m_clock;
    Duties m_duties;
    std::atomic<bool> m_exit{ false };
};

} // namespace cowsliprock
