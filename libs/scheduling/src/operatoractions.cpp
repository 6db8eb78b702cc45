#include "operatoractions.h"

#include "feasibility.h"
#include "jobjson.h"

#include <kernel/serialization.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace cowsliprock::scheduling {

namespace {

constexpr Duration relayRepeat = std::chrono::milliseconds(1'500);
constexpr Duration relayTime = std::chrono::seconds(5);

/// How long an operator waits for a row of the store. Shorter than relayTime, so that the home
/// answers first.
constexpr Duration storeTime = std::chrono::seconds(3);
constexpr Duration shortRetry = std::chrono::seconds(1);

/// Tries to find an id whose home is this daemon, which saves the relay.
constexpr unsigned idTries = 16;

} // namespace

PartitionId OperatorActions::homePartition(const JobId &id) const
{
    const auto separator = id.value().rfind('-');
    if (separator == std::string::npos)
        return {};
    // The data centre with the highest hash keeps the homes of most jobs when one is added.
    std::string chosen;
    std::uint64_t best = 0;
    for (const auto &dataCentre :
         m_state.context.dataCentres(std::string_view(id.value()).substr(0, separator))) {
        const std::uint64_t hash = stableHash(id.value() + "@" + dataCentre);
        if (chosen.empty() || hash > best) {
            chosen = dataCentre;
            best = hash;
        }
    }
    if (chosen.empty())
        return {};
    return partitionOf(id.value(), chosen, m_state.context.settings.partitionsPerDataCentre);
}

JobId OperatorActions::newId()
{
    std::array<char, 17> digits{};
    (void)std::snprintf(digits.data(), digits.size(), "%016llx",
                        static_cast<unsigned long long>(m_state.context.random()));
    return JobId(m_state.context.settings.location.region + "-" + digits.data());
}

void OperatorActions::answer(const Target &target, int httpStatus, const std::string &body)
{
    if (target.relayedBy.empty())
        m_state.context.perform(effect::AnswerOperator{ target.operation, httpStatus, body });
    else
        m_state.context.send(target.relayedBy,
                             message::OperatorRelayReply{ target.operation, httpStatus, body });
}

void OperatorActions::refuse(const Target &target, const std::string &error, Duration retryAfter)
{
    answer(target, 503, retryJson(error, retryAfter));
}

void OperatorActions::call(const event::OperatorCall &call)
{
    const Target target{ {}, call.operation };
    if (call.action == "submit")
        submit(target, call.body);
    else if (call.action == "status" || call.action == "cancel")
        toHome(target, call.action, call.body);
    else if (call.action == "jobs")
        answer(target, 200, jobsJson(m_state.jobs(), m_state.context.now));
    else if (call.action == "workers")
        answer(target, 200, workersJson(m_ledger, m_state.context));
}

void OperatorActions::relayed(const DaemonName &from, const message::OperatorRelay &relay)
{
    const Target target{ from, relay.operation };
    if (relay.action != "submit") {
        const auto id = readId(relay.body);
        if (!id.has_value())
            return answer(target, 400, errorJson(id.error().text(), {}));
        return relay.action == "cancel" ? cancel(target, id.value()) : status(target, id.value());
    }
    const auto job = decodeJob(relay.body);
    if (!job.has_value())
        return answer(target, 400, errorJson(job.error().text(), {}));
    accept(target, job.value(), homePartition(job.value().id));
}

void OperatorActions::submit(const Target &target, const std::string &body)
{
    Context &context = m_state.context;
    if (context.draining || !context.configuration)
        return refuse(target, "this daemon takes no jobs now", shortRetry);
    if (!context.storeReachable)
        return refuse(target, "the store cannot be reached", 2 * shortRetry);
    const auto definition = readDefinition(body, *context.configuration);
    if (!definition.has_value())
        return answer(target, 422, errorJson("invalid job", { definition.error().detail }));
    if (const auto reasons = reasonsAgainst(definition.value(), context, m_ledger);
        !reasons.empty())
        return answer(target, 422, errorJson("the job can never run", reasons));
    JobId id = newId();
    std::optional<DaemonIdentity> home = context.ownerOf(homePartition(id));
    for (unsigned tries = 0; tries < idTries && !context.usable(homePartition(id)); ++tries) {
        const JobId other = newId();
        const auto otherHome = context.ownerOf(homePartition(other));
        if (context.usable(homePartition(other)) || (!home && otherHome)) {
            id = other;
            home = otherHome;
        }
    }
    const AcceptedJob job{ id, definition.value(), "operator", false, JobOutcome::None };
    if (!home)
        refuse(target, "no daemon owns the job's partition", shortRetry);
    else if (home->name == context.settings.self.name)
        accept(target, job, homePartition(id));
    else
        relay(target, home->name, "submit", encodeJob(job));
}

void OperatorActions::accept(const Target &target, const AcceptedJob &job,
                             const PartitionId &partition)
{
    const Context &context = m_state.context;
    if (m_state.job(job.id) != nullptr)
        return answer(target, 202, stateJson(job.id, "accepted"));
    if (const auto iterator = m_submits.find(job.id); iterator != m_submits.end()) {
        iterator->second.targets.push_back(target);
        return;
    }
    if (!context.usable(partition) || !context.valid() || context.draining
        || !context.storeReachable)
        return refuse(target, "the job's home takes no jobs now", shortRetry);
    m_submits[job.id] = { { target }, job, partition, context.now + storeTime, false };
    m_state.rows.write(job, partition);
}

void OperatorActions::rowResult(const JobRows::Result &result)
{
    if (const auto iterator = m_submits.find(result.job); iterator != m_submits.end()) {
        if (result.outcome == JobRows::Outcome::Durable) {
            iterator->second.durable = true;
            acceptIfDurable(result.job, iterator->second);
        } else if (result.outcome == JobRows::Outcome::Collision) {
            for (const auto &target : iterator->second.targets)
                refuse(target, "the job's id is in use", Duration{ 0 });
            m_submits.erase(iterator);
        }
        return;
    }
    Job *job = m_state.job(result.job);
    if (job == nullptr) {
        // The tombstone of a submission that was answered as not accepted.
        if (result.outcome == JobRows::Outcome::Durable)
            m_state.rows.forget(result.job);
        return;
    }
    if (result.cancelledElsewhere && !job->accepted.cancelled && !job->ended())
        mark(*job);
    if (const auto iterator = m_cancels.find(result.job);
        iterator != m_cancels.end() && result.outcome == JobRows::Outcome::Durable) {
        iterator->second.durable = true;
        tick();
    }
}

void OperatorActions::acceptIfDurable(const JobId &id, Waiting &waiting)
{
    const Context &context = m_state.context;
    // A reply that arrives after the validity ended does not count: the next home may have listed
    // the rows before this one was written.
    if (!waiting.durable || !context.valid() || !context.usable(waiting.partition))
        return;
    m_state.updateQueue(m_state.addJob(waiting.job, waiting.partition, TaskPhase::Queued));
    for (const auto &target : waiting.targets)
        answer(target, 202, stateJson(id, "accepted"));
    m_submits.erase(id);
}

void OperatorActions::abandon(const JobId &id, Waiting &waiting)
{
    for (const auto &target : waiting.targets)
        refuse(target, "the job could not be made durable", 2 * shortRetry);
    // The row may exist; it is marked so that no home runs a job that was not accepted.
    waiting.job.cancelled = true;
    waiting.job.outcome = JobOutcome::Cancelled;
    m_state.rows.write(waiting.job, waiting.partition);
    m_submits.erase(id);
}

void OperatorActions::status(const Target &target, const JobId &id)
{
    if (const Job *job = m_state.job(id); job != nullptr)
        return answer(target, 200, statusJson(*job, m_state.context.now));
    if (!m_state.loaded.contains(homePartition(id)))
        return refuse(target, "the job's home is being rebuilt", shortRetry);
    answer(target, 404, errorJson("no such job", {}));
}

void OperatorActions::mark(Job &job)
{
    job.accepted.cancelled = true;
    m_state.rows.write(job.accepted, job.partition);
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        m_tasks.stop({ &job, index });
    m_state.updateQueue(job);
    m_state.endIfComplete(job);
}

void OperatorActions::cancel(const Target &target, const JobId &id)
{
    Context &context = m_state.context;
    Job *job = m_state.job(id);
    if (job == nullptr)
        return status(target, id);
    // Before usableFrom, starts of the earlier home may still take effect.
    if (!context.usable(job->partition) || !context.valid())
        return refuse(target, "the job's home is not usable yet", shortRetry);
    // A mark that is not in the row yet could be lost with this home.
    if (job->accepted.cancelled ? m_state.rows.settled(id) : job->ended())
        return answer(target, 200, stateJson(id, stateOf(*job)));
    Waiting &waiting = m_cancels[id];
    waiting.targets.push_back(target);
    waiting.answerBy = context.now + storeTime;
    waiting.partition = job->partition;
    if (!job->accepted.cancelled)
        mark(*job);
}

void OperatorActions::toHome(const Target &target, const std::string &action,
                             const std::string &body)
{
    const auto id = readId(body);
    if (!id.has_value())
        return answer(target, 400, errorJson(id.error().text(), {}));
    const PartitionId partition = homePartition(id.value());
    if (partition.empty())
        return answer(target, 404, errorJson("no such job", {}));
    const auto home = m_state.context.ownerOf(partition);
    if (!home)
        refuse(target, "no daemon owns the job's partition", shortRetry);
    else if (home->name != m_state.context.settings.self.name)
        relay(target, home->name, action, body);
    else if (action == "cancel")
        cancel(target, id.value());
    else
        status(target, id.value());
}

void OperatorActions::relay(const Target &target, const DaemonName &home, const std::string &action,
                            const std::string &body)
{
    const TimePoint now = m_state.context.now;
    const message::OperatorRelay message{ target.operation, action, body };
    m_relays[target.operation] = { home, message, now + relayRepeat, now + relayTime };
    m_state.context.send(home, message);
}

void OperatorActions::relayReply(const message::OperatorRelayReply &reply)
{
    if (m_relays.erase(reply.operation) > 0)
        answer({ {}, reply.operation }, reply.httpStatus, reply.body);
}

void OperatorActions::tick()
{
    const TimePoint now = m_state.context.now;
    const auto submits = m_submits;
    for (const auto &[id, copy] : submits) {
        Waiting &waiting = m_submits.at(id);
        acceptIfDurable(id, waiting);
        if (m_submits.contains(id) && copy.answerBy <= now)
            abandon(id, waiting);
    }
    for (auto iterator = m_cancels.begin(); iterator != m_cancels.end();) {
        auto &[id, waiting] = *iterator;
        const bool confirmed = waiting.durable && m_state.context.valid();
        if (!confirmed && now < waiting.answerBy) {
            ++iterator;
            continue;
        }
        for (const auto &target : waiting.targets) {
            if (confirmed)
                answer(target, 200, stateJson(id, "cancelled"));
            else
                refuse(target, "the cancellation is not durable yet", shortRetry);
        }
        iterator = m_cancels.erase(iterator);
    }
    for (auto iterator = m_relays.begin(); iterator != m_relays.end();) {
        auto &[operation, relay] = *iterator;
        if (relay.answerBy <= now) {
            refuse({ {}, operation }, "the job's home does not answer", shortRetry);
            iterator = m_relays.erase(iterator);
            continue;
        }
        if (relay.repeatAt <= now) {
            relay.repeatAt = now + relayRepeat;
            m_state.context.send(relay.to, relay.message);
        }
        ++iterator;
    }
}

void OperatorActions::partitionLost(const PartitionId &partition)
{
    const auto refuseAll = [&](auto &waitings) {
        std::erase_if(waitings, [&](const auto &entry) {
            if (entry.second.partition != partition)
                return false;
            for (const auto &target : entry.second.targets)
                refuse(target, "the job's home has changed", shortRetry);
            return true;
        });
    };
    refuseAll(m_submits);
    refuseAll(m_cancels);
}

} // namespace cowsliprock::scheduling
