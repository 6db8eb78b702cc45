#include "world.h"

#include <algorithm>

// Execution of the effects of the kernels.

namespace cowsliprock::test {

using namespace std::chrono_literals;

void World::on(std::size_t, const effect::Count &effect)
{
    m_counters[effect.metric] += effect.amount;
}

void World::reply(std::size_t node, const Event &event, Duration delay)
{
    const auto incarnation = m_nodes[node].settings.self.incarnation;
    at(m_now + delay, [this, node, event, incarnation] {
        if (m_nodes[node].settings.self.incarnation == incarnation)
            deliver(node, event);
    });
}

void World::on(std::size_t node, const effect::SendPeer &effect)
{
    if (const auto *reply = std::get_if<message::ReserveReply>(&effect.message);
        reply != nullptr && reply->granted)
        m_granted.try_emplace(reply->attempt, m_now);
    if (!occurs(faults.lostMessages))
        sendMessage(node, effect);
    if (occurs(faults.duplicatedMessages))
        sendMessage(node, effect);
}

void World::sendMessage(std::size_t node, const effect::SendPeer &effect)
{
    const Duration delay =
        occurs(faults.lateMessages) ? randomBetween(50ms, 3s) : randomBetween(500us, 5ms);
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (m_nodes[other].settings.self.name != effect.to)
            continue;
        at(m_now + delay, [this, other, from = m_nodes[node].settings.self, effect] {
            deliver(other, event::PeerMessage{ from, effect.message });
        });
    }
}

event::StoreReply World::storeReply(const effect::StoreCall &effect)
{
    event::StoreReply result;
    result.call = effect.call;
    result.status = event::StoreStatus::Ok;
    if (effect.operation == effect::StoreCall::Operation::List) {
        for (const auto &[key, row] : m_store) {
            if (key.starts_with(effect.key))
                result.rows.push_back({ key, row.version, row.value });
        }
        return result;
    }
    const auto iterator = m_store.find(effect.key);
    const std::uint64_t present = iterator == m_store.end() ? 0 : iterator->second.version;
    if (present != effect.version) {
        result.status = event::StoreStatus::Conflict;
        result.version = present;
        result.value = present == 0 ? std::string() : iterator->second.value;
        return result;
    }
    m_store[effect.key] = { present + 1, effect.value };
    result.version = present + 1;
    return result;
}

void World::on(std::size_t node, const effect::StoreCall &effect)
{
    const event::StoreReply unavailable{ effect.call, event::StoreStatus::Unavailable, 0, {}, {},
                                         m_now };
    if (storeDown)
        return reply(node, unavailable, 100ms);
    if (!occurs(faults.lostStoreReplies))
        return at(m_now + randomBetween(1ms, 10ms), [this, node, effect] {
            reply(node, storeReply(effect), randomBetween(1ms, 10ms));
        });
    // The write takes effect before or after the daemon gives up waiting.
    at(m_now + randomBetween(1ms, 1500ms), [this, effect] { (void)storeReply(effect); });
    reply(node, unavailable, 1s);
}

void World::callWorker(std::size_t node, TimePoint validUntil,
                       const std::function<void(TimePoint, bool)> &call, const Event &notSent)
{
    // The effect is queued in a ring buffer before it is sent; its validity is checked when it is
    // sent.
    const auto incarnation = m_nodes[node].settings.self.incarnation;
    const Duration queued =
        occurs(faults.lateWorkerCalls) ? randomBetween(0ms, 3s) : randomBetween(0ms, 2ms);
    at(m_now + queued, [this, node, incarnation, validUntil, call, notSent] {
        const bool stopped =
            m_nodes[node].paused || m_nodes[node].settings.self.incarnation != incarnation;
        if (stopped || m_now >= validUntil)
            return reply(node, notSent, 1ms);
        const TimePoint sentAt = m_now;
        const bool late = occurs(faults.lateWorkerCalls);
        const bool answered = !late && !occurs(faults.lostWorkerAnswers);
        const Duration flight = late ? randomBetween(5ms, 7s) : randomBetween(200us, 3ms);
        at(m_now + flight, [call, sentAt, answered] { call(sentAt, answered); });
    });
}

void World::on(std::size_t node, const effect::PollWorker &effect)
{
    const event::WorkerUnreachable unreachable{ effect.worker };
    const auto call = [this, node, effect, unreachable](TimePoint sentAt, bool answered) {
        const auto worker = m_workers.find(effect.worker);
        if (worker == m_workers.end() || worker->second.isolated)
            return reply(node, unreachable, 1s);
        auto report = worker->second.report(effect.renew, effect.lease, m_now);
        report.worker = effect.worker;
        report.askedAt = sentAt;
        if (answered)
            reply(node, report, randomBetween(200us, 3ms));
        else
            reply(node, unreachable, 2s);
    };
    callWorker(node, effect.validUntil, call, unreachable);
}

void World::on(std::size_t node, const effect::StartTask &effect)
{
    const AttemptId attempt = effect.launch.attempt;
    if (const auto granted = m_granted.find(attempt); granted != m_granted.end()
        && granted->second + m_nodes[node].settings.reservationTime < m_now)
        violation(attempt.value() + " started from an expired reservation");
    const auto call = [this, node, effect, attempt](TimePoint, bool answered) {
        const auto worker = m_workers.find(effect.worker);
        if (worker == m_workers.end() || worker->second.isolated)
            return reply(node, event::TaskStartResult{ attempt, message::StartOutcome::Unknown },
                         1s);
        const bool known = worker->second.tasks().contains(attempt);
        const bool accepted = worker->second.start(effect.launch, effect.lease, m_now);
        if (accepted && !known)
            started(effect.worker, effect.launch);
        const auto outcome =
            accepted ? message::StartOutcome::Started : message::StartOutcome::NotStarted;
        if (answered)
            reply(node, event::TaskStartResult{ attempt, outcome }, randomBetween(200us, 3ms));
        else
            reply(node, event::TaskStartResult{ attempt, message::StartOutcome::Unknown }, 1s);
    };
    callWorker(node, effect.validUntil, call,
               event::TaskStartResult{ attempt, message::StartOutcome::NotStarted });
}

void World::on(std::size_t node, const effect::StopTask &effect)
{
    const auto call = [this, node, effect](TimePoint, bool answered) {
        const auto worker = m_workers.find(effect.worker);
        bool confirmed = false;
        if (worker != m_workers.end() && !worker->second.isolated
            && effect.mode == effect::StopTask::Mode::Stop)
            confirmed = worker->second.stop(effect.attempt, m_now) && answered;
        reply(node, event::TaskStopResult{ effect.attempt, confirmed },
              answered ? randomBetween(200us, 3ms) : 1s);
    };
    callWorker(node, effect.validUntil, call, event::TaskStopResult{ effect.attempt, false });
}

void World::on(std::size_t, const effect::AnswerOperator &effect)
{
    m_answers[effect.operation] = { effect.httpStatus, effect.body, m_now };
}

void World::started(const WorkerName &worker, const TaskLaunch &launch)
{
    m_trace.push_back(std::to_string(m_now.time_since_epoch().count()) + " start of "
                      + launch.attempt.value() + " on " + worker.value());
    m_firstStarts.try_emplace(launch.job, m_now);
    if (const auto bound = m_noStartsAfter.find(launch.job);
        bound != m_noStartsAfter.end() && m_now >= bound->second)
        violation("start of cancelled " + launch.attempt.value());
    for (auto &[name, state] : m_workers)
        state.advance(m_now);
    checkCapacity(worker);
    if (launch.name.find("exclusive") == std::string::npos)
        return;
    for (const auto &[name, state] : m_workers) {
        for (const auto &[attempt, task] : state.tasks()) {
            if (attempt != launch.attempt && FakeWorker::live(task) && task.launch.job == launch.job
                && task.launch.index == launch.index)
                violation("exclusive " + launch.attempt.value() + " also runs on " + name.value()
                          + " as " + attempt.value());
        }
    }
}

void World::checkCapacity(const WorkerName &worker)
{
    const FakeWorker &state = m_workers.at(worker);
    if (!state.declaredLive().fitsIn(state.capacity))
        violation(worker.value() + " is overcommitted");
}

OperationId World::call(int daemon, const std::string &action, const std::string &body)
{
    OperationId operation("operation-" + std::to_string(++m_nextOperation));
    deliver(static_cast<std::size_t>(daemon), event::OperatorCall{ operation, action, body });
    return operation;
}

std::optional<World::Answer> World::answer(const OperationId &operation) const
{
    const auto iterator = m_answers.find(operation);
    return iterator == m_answers.end() ? std::nullopt : std::optional(iterator->second);
}

World::Answer World::ask(int daemon, const std::string &action, const std::string &body)
{
    const OperationId operation = call(daemon, action, body);
    for (int i = 0; i < 60 && !answer(operation); ++i)
        run(100ms);
    return answer(operation).value_or(Answer{ 0, {}, m_now });
}

std::uint64_t World::effects(const std::string &name) const
{
    const auto iterator = m_effects.find(name);
    return iterator == m_effects.end() ? 0 : iterator->second;
}

std::uint64_t World::allEffects() const
{
    std::uint64_t sum = 0;
    for (const auto &[name, count] : m_effects)
        sum += name == effect::Count::name || name == effect::Observe::name ? 0 : count;
    return sum;
}

std::uint64_t World::counter(const std::string &metric) const
{
    const auto iterator = m_counters.find(metric);
    return iterator == m_counters.end() ? 0 : iterator->second;
}

int World::liveTasks(const JobId &job) const
{
    int count = 0;
    for (const auto &[name, worker] : m_workers) {
        count += static_cast<int>(
            std::count_if(worker.tasks().begin(), worker.tasks().end(), [&](const auto &entry) {
                return entry.second.launch.job == job && FakeWorker::live(entry.second);
            }));
    }
    return count;
}

std::optional<TimePoint> World::firstStart(const JobId &job) const
{
    const auto iterator = m_firstStarts.find(job);
    return iterator == m_firstStarts.end() ? std::nullopt : std::optional(iterator->second);
}

} // namespace cowsliprock::test
