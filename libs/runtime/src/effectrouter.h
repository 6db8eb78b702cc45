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

/// A queued endpoint call with the request body.
struct EndpointCall
{
    effect::CallEndpoint call;
    BodyPointer body;
};

/// An effect that calls a worker.
using WorkerCall = std::variant<effect::PollWorker, effect::StartTask, effect::StopTask>;

/// Dispatches each effect of the kernel to the component that performs it. Runs in the kernel's
/// thread and therefore never blocks: if the ring of a component is full, perform() returns an
/// event that reports the effect as failed without anything having been sent. A message to a peer
/// is dropped and counted instead.
class EffectRouter
{
public:
    /// The components that perform effects. Not owned.
    struct Handlers
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

    /// Sets the components. Must be called before the kernel loop starts.
    void connect(const Handlers &handlers) noexcept { m_handlers = handlers; }

    /// Returns an event if the effect could not be passed on.
    [[nodiscard]] std::optional<Event> perform(Effect &effect);

    /// True after an Exit effect. Thread-safe.
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
    Handlers m_handlers;
    std::atomic<bool> m_exit{ false };
};

} // namespace cowsliprock
