#include "operatoractions.h"

#include "feasibility.h"
#include "jobjson.h"

#include <kernel/serialization.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace cowsliprock::scheduling {

namespace {

constexpr Duration relayRetryInterval = std::chrono::milliseconds(1'500);
constexpr Duration relayTimeout = std::chrono::seconds(5);

/// Time-out of a store write that an operator waits for. Shorter than relayTimeout, so that the
/// home answers before the relay times out.
constexpr Duration storeTimeout = std::chrono::seconds(3);
constexpr Duration shortRetryDelay = std::chrono::seconds(1);

/// Maximum number of ids generated to find one whose home is this daemon, which avoids the relay.
constexpr unsigned idAttempts = 16;

} // namespace

PartitionId OperatorActions::homePartition(const JobId &id) const
{
    const auto separator = id.value().rfind('-');
    if (separator == std::string::npos)
        return {};
    // Rendezvous hashing: adding a data centre changes the home of only a fraction of the jobs.
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

void OperatorActions::answer(const ReplyTarget &target, int httpStatus, const std::string &body)
{
    if (target.relayedBy.empty())
        m_state.context.perform(effect::AnswerOperator{ target.operation, httpStatus, body });
    else
        m_state.context.send(target.relayedBy,
                             message::OperatorRelayReply{ target.operation, httpStatus, body });
}

void OperatorActions::refuse(const ReplyTarget &target, const std::string &error,
                             Duration retryAfter)
{
    answer(target, 503, retryJson(error, retryAfter));
}

void OperatorActions::call(const event::OperatorCall &call)
{
    const ReplyTarget target{ {}, call.operation };
    if (call.action == "submit")
        submit(target, call.body);
    else if (call.action == "status" || call.action == "cancel")
        forwardToHome(target, call.action, call.body);
    else if (call.action == "jobs")
        answer(target, 200, jobsJson(m_state.jobs(), m_state.context.now));
    else if (call.action == "workers")
        answer(target, 200, workersJson(m_ledger, m_state.context));
}

void OperatorActions::relayed(const DaemonName &from, const message::OperatorRelay &relay)
{
    const ReplyTarget target{ from, relay.operation };
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

void OperatorActions::submit(const ReplyTarget &target, const std::string &body)
{
    Context &context = m_state.context;
    if (context.draining || !context.configuration)
        return refuse(target, "this daemon takes no jobs now", shortRetryDelay);
    if (!context.storeReachable)
        return refuse(target, "the store cannot be reached", 2 * shortRetryDelay);
    const auto definition = readDefinition(body, *context.configuration);
    if (!definition.has_value())
        return answer(target, 422, errorJson("invalid job", { definition.error().detail }));
    if (const auto reasons = infeasibilityReasons(definition.value(), context, m_ledger);
        !reasons.empty())
        return answer(target, 422, errorJson("the job can never run", reasons));
    JobId id = newId();
    std::optional<DaemonIdentity> home = context.ownerOf(homePartition(id));
    for (unsigned tries = 0; tries < idAttempts && !context.usable(homePartition(id)); ++tries) {
        const JobId other = newId();
        const auto otherHome = context.ownerOf(homePartition(other));
        if (context.usable(homePartition(other)) || (!home && otherHome)) {
            id = other;
            home = otherHome;
        }
    }
    const AcceptedJob job{ id, definition.value(), "operator", false, JobOutcome::None };
    if (!home)
        refuse(target, "no daemon owns the job's partition", shortRetryDelay);
    else if (home->name == context.settings.self.name)
        accept(target, job, homePartition(id));
    else
        relay(target, home->name, "submit", encodeJob(job));
}

void OperatorActions::accept(const ReplyTarget &target, const AcceptedJob &job,
                             const PartitionId &partition)
{
    const Context &context = m_state.context;
    if (m_state.job(job.id) != nullptr)
        return answer(target, 202, stateJson(job.id, "accepted"));
    if (const auto iterator = m_pendingSubmits.find(job.id); iterator != m_pendingSubmits.end()) {
        iterator->second.targets.push_back(target);
        return;
    }
    if (!context.usable(partition) || !context.valid() || context.draining
        || !context.storeReachable)
        return refuse(target, "the job's home takes no jobs now", shortRetryDelay);
    m_pendingSubmits[job.id] = { { target }, job, partition, context.now + storeTimeout, false };
    m_state.rows.write(job, partition);
}

void OperatorActions::rowResult(const JobRows::Result &result)
{
    if (const auto iterator = m_pendingSubmits.find(result.job);
        iterator != m_pendingSubmits.end()) {
        if (result.outcome == JobRows::Outcome::Durable) {
            iterator->second.durable = true;
            acceptIfDurable(result.job, iterator->second);
        } else if (result.outcome == JobRows::Outcome::Collision) {
            for (const auto &target : iterator->second.targets)
                refuse(target, "the job's id is in use", Duration{ 0 });
            m_pendingSubmits.erase(iterator);
        }
        return;
    }
    Job *job = m_state.job(result.job);
    if (job == nullptr) {
        // Tombstone of a submission that was refused.
        if (result.outcome == JobRows::Outcome::Durable)
            m_state.rows.forget(result.job);
        return;
    }
    if (result.cancelledElsewhere && !job->accepted.cancelled && !job->ended())
        markCancelled(*job);
    if (const auto iterator = m_pendingCancels.find(result.job);
        iterator != m_pendingCancels.end() && result.outcome == JobRows::Outcome::Durable) {
        iterator->second.durable = true;
        tick();
    }
}

void OperatorActions::acceptIfDurable(const JobId &id, PendingAnswer &pending)
{
    const Context &context = m_state.context;
    // A reply received after this daemon's validity has ended is ignored: the next home may have
    // listed the rows before this row was written.
    if (!pending.durable || !context.valid() || !context.usable(pending.partition))
        return;
    m_state.updateQueue(m_state.addJob(pending.job, pending.partition, TaskPhase::Queued));
    for (const auto &target : pending.targets)
        answer(target, 202, stateJson(id, "accepted"));
    m_pendingSubmits.erase(id);
}

void OperatorActions::abandon(const JobId &id, PendingAnswer &pending)
{
    for (const auto &target : pending.targets)
        refuse(target, "the job could not be made durable", 2 * shortRetryDelay);
    // The row may exist. Marking it as cancelled prevents any home from running a refused job.
    pending.job.cancelled = true;
    pending.job.outcome = JobOutcome::Cancelled;
    m_state.rows.write(pending.job, pending.partition);
    m_pendingSubmits.erase(id);
}

void OperatorActions::status(const ReplyTarget &target, const JobId &id)
{
    if (const Job *job = m_state.job(id); job != nullptr)
        return answer(target, 200, statusJson(*job, m_state.context.now));
    if (!m_state.loaded.contains(homePartition(id)))
        return refuse(target, "the job's home is being rebuilt", shortRetryDelay);
    answer(target, 404, errorJson("no such job", {}));
}

void OperatorActions::markCancelled(Job &job)
{
    job.accepted.cancelled = true;
    m_state.rows.write(job.accepted, job.partition);
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        m_tasks.stop({ &job, index });
    m_state.updateQueue(job);
    m_state.endIfComplete(job);
}

void OperatorActions::cancel(const ReplyTarget &target, const JobId &id)
{
    Context &context = m_state.context;
    Job *job = m_state.job(id);
    if (job == nullptr)
        return status(target, id);
    // Starts requested by the earlier home may still take effect before usableFrom.
    if (!context.usable(job->partition) || !context.valid())
        return refuse(target, "the job's home is not usable yet", shortRetryDelay);
    // A cancellation that is not in the row yet would be lost if this home failed.
    if (job->accepted.cancelled ? m_state.rows.upToDate(id) : job->ended())
        return answer(target, 200, stateJson(id, stateOf(*job)));
    PendingAnswer &pending = m_pendingCancels[id];
    pending.targets.push_back(target);
    pending.answerBy = context.now + storeTimeout;
    pending.partition = job->partition;
    if (!job->accepted.cancelled)
        markCancelled(*job);
}

void OperatorActions::forwardToHome(const ReplyTarget &target, const std::string &action,
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
        refuse(target, "no daemon owns the job's partition", shortRetryDelay);
    else if (home->name != m_state.context.settings.self.name)
        relay(target, home->name, action, body);
    else if (action == "cancel")
        cancel(target, id.value());
    else
        status(target, id.value());
}

void OperatorActions::relay(const ReplyTarget &target, const DaemonName &home,
                            const std::string &action, const std::string &body)
{
    const TimePoint now = m_state.context.now;
    const message::OperatorRelay message{ target.operation, action, body };
    m_relays[target.operation] = { home, message, now + relayRetryInterval, now + relayTimeout };
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
    const auto submits = m_pendingSubmits;
    for (const auto &[id, copy] : submits) {
        PendingAnswer &pending = m_pendingSubmits.at(id);
        acceptIfDurable(id, pending);
        if (m_pendingSubmits.contains(id) && copy.answerBy <= now)
            abandon(id, pending);
    }
    for (auto iterator = m_pendingCancels.begin(); iterator != m_pendingCancels.end();) {
        auto &[id, pending] = *iterator;
        const bool confirmed = pending.durable && m_state.context.valid();
        if (!confirmed && now < pending.answerBy) {
            ++iterator;
            continue;
        }
        for (const auto &target : pending.targets) {
            if (confirmed)
                answer(target, 200, stateJson(id, "cancelled"));
            else
                refuse(target, "the cancellation is not durable yet", shortRetryDelay);
        }
        iterator = m_pendingCancels.erase(iterator);
    }
    for (auto iterator = m_relays.begin(); iterator != m_relays.end();) {
        auto &[operation, relay] = *iterator;
        if (relay.answerBy <= now) {
            refuse({ {}, operation }, "the job's home does not answer", shortRetryDelay);
            iterator = m_relays.erase(iterator);
            continue;
        }
        if (relay.repeatAt <= now) {
            relay.repeatAt = now + relayRetryInterval;
            m_state.context.send(relay.to, relay.message);
        }
        ++iterator;
    }
}

void OperatorActions::partitionLost(const PartitionId &partition)
{
    const auto refuseAll = [&](auto &pendingAnswers) {
        std::erase_if(pendingAnswers, [&](const auto &entry) {
            if (entry.second.partition != partition)
                return false;
            for (const auto &target : entry.second.targets)
                refuse(target, "the job's home has changed", shortRetryDelay);
            return true;
        });
    };
    refuseAll(m_pendingSubmits);
    refuseAll(m_pendingCancels);
}

} // namespace cowsliprock::scheduling
