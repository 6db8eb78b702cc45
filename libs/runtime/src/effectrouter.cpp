#include "effectrouter.h"

#include "messagebody.h"

#include <logging/logging.h>

namespace cowsliprock {

namespace {

event::EndpointReply notSentReply(const AttemptId &attempt, std::string detail)
{
    event::EndpointReply reply;
    reply.attempt = attempt;
    reply.outcome = event::EndpointOutcome::NotSent;
    reply.detail = std::move(detail);
    return reply;
}

} // namespace

std::optional<Event> EffectRouter::perform(Effect &effect)
{
    return std::visit([this](auto &typedEffect) { return perform(typedEffect); }, effect);
}

std::optional<Event> EffectRouter::perform(effect::StoreCall &call)
{
    const bool watch = call.operation == effect::StoreCall::Operation::Watch;
    const CallId id = call.call;
    if ((watch ? m_handlers.watch : m_handlers.store)->tryAdd(std::move(call)))
        return std::nullopt;
    m_metrics.count("store.ringFull");
    event::StoreReply reply;
    reply.call = id;
    reply.sentAt = m_clock.now();
    return reply;
}

std::optional<Event> EffectRouter::perform(effect::SendPeer &send)
{
    const BodyKey key = bodyKeyOf(send.message);
    auto body = key.empty() ? std::make_shared<const Body>() : m_bodies.find(key);
    // Sending the message without its body would present an empty request or answer as complete.
    if (!body) {
        m_metrics.count("bodies.missing");
        return std::nullopt;
    }
    if (!m_handlers.peers->send({ send.to, { m_self, std::move(send.message) }, std::move(body) }))
        m_metrics.count("peer.ringFull");
    return std::nullopt;
}

std::optional<Event> EffectRouter::perform(effect::AnswerCaller &answer)
{
    m_handlers.http->answer(answer);
    return std::nullopt;
}

std::optional<Event> EffectRouter::perform(effect::AnswerOperator &answer)
{
    m_handlers.http->answer(answer);
    return std::nullopt;
}

std::optional<Event> EffectRouter::perform(effect::CallEndpoint &call)
{
    const AttemptId attempt = call.attempt;
    auto body = m_bodies.find(call.body);
    if (!body) {
        m_metrics.count("bodies.missing");
        return notSentReply(attempt, "request body not found");
    }
    if (m_handlers.endpoints->tryAdd({ std::move(call), std::move(body) }))
        return std::nullopt;
    m_metrics.count("endpoints.ringFull");
    return notSentReply(attempt, "endpoint call ring is full");
}

std::optional<Event> EffectRouter::perform(effect::ForgetBody &forget)
{
    m_bodies.remove(forget.body);
    return std::nullopt;
}

std::optional<Event> EffectRouter::perform(effect::PollWorker &poll)
{
    const WorkerName worker = poll.worker;
    if (m_handlers.workers->tryAdd(std::move(poll)))
        return std::nullopt;
    m_metrics.count("workers.ringFull");
    return event::WorkerUnreachable{ worker };
}

std::optional<Event> EffectRouter::perform(effect::StartTask &start)
{
    const AttemptId attempt = start.launch.attempt;
    if (m_handlers.workers->tryAdd(std::move(start)))
        return std::nullopt;
    m_metrics.count("workers.ringFull");
    return event::TaskStartResult{ attempt, message::StartOutcome::NotStarted };
}

std::optional<Event> EffectRouter::perform(effect::StopTask &stop)
{
    const AttemptId attempt = stop.attempt;
    if (m_handlers.workers->tryAdd(std::move(stop)))
        return std::nullopt;
    m_metrics.count("workers.ringFull");
    return event::TaskStopResult{ attempt, false };
}

std::optional<Event> EffectRouter::perform(effect::Count &count)
{
    m_metrics.count(count.metric, count.amount);
    return std::nullopt;
}

std::optional<Event> EffectRouter::perform(effect::Observe &observation)
{
    m_metrics.observe(observation.metric, observation.value);
    return std::nullopt;
}

std::optional<Event> EffectRouter::perform(effect::LogChange &change)
{
    logLine(LogLevel::Info, change.text);
    return std::nullopt;
}

std::optional<Event> EffectRouter::perform(effect::SetReady &readiness)
{
    m_handlers.http->setReady(readiness.ready, readiness.reason);
    return std::nullopt;
}

std::optional<Event> EffectRouter::perform(effect::SetIncarnation &change)
{
    m_self.incarnation = change.incarnation;
    return std::nullopt;
}

std::optional<Event> EffectRouter::perform(effect::Exit &)
{
    m_exit = true;
    return std::nullopt;
}

} // namespace cowsliprock
