#pragma once

#include "homestate.h"
#include "taskrunner.h"
#include "workerledger.h"

#include <map>
#include <string>
#include <vector>

namespace cowsliprock::scheduling {

/// Handles the operator actions submit, status, jobs, cancel and workers. Actions on a job are
/// relayed to its home if that is another daemon.
class OperatorActions
{
public:
    OperatorActions(HomeState &state, const WorkerLedger &ledger, TaskRunner &tasks)
        : m_state(state)
        , m_ledger(ledger)
        , m_tasks(tasks)
    { }

    void call(const event::OperatorCall &call);
    void relayed(const DaemonName &from, const message::OperatorRelay &relay);
    void relayReply(const message::OperatorRelayReply &reply);

    /// Handles the result of a job row write.
    void rowResult(const JobRows::Result &result);
    void tick();
    void partitionLost(const PartitionId &partition);

private:
    /// Recipient of an answer: an operator connected to this daemon, or a relaying daemon.
    struct ReplyTarget
    {
        DaemonName relayedBy; ///< Empty for an operator connected to this daemon.
        OperationId operation;
    };
    struct PendingAnswer
    {
        std::vector<ReplyTarget> targets;
        AcceptedJob job;
        PartitionId partition;
        TimePoint answerBy;
        bool durable = false;
    };
    struct Relay
    {
        DaemonName to;
        message::OperatorRelay message;
        TimePoint repeatAt;
        TimePoint answerBy;
    };

    void answer(const ReplyTarget &target, int httpStatus, const std::string &body);
    void refuse(const ReplyTarget &target, const std::string &error, Duration retryAfter);
    void submit(const ReplyTarget &target, const std::string &body);
    void accept(const ReplyTarget &target, const AcceptedJob &job, const PartitionId &partition);
    void acceptIfDurable(const JobId &id, PendingAnswer &pending);
    void abandon(const JobId &id, PendingAnswer &pending);
    void status(const ReplyTarget &target, const JobId &id);
    void cancel(const ReplyTarget &target, const JobId &id);
    void markCancelled(Job &job);
    void forwardToHome(const ReplyTarget &target, const std::string &action,
                       const std::string &body);
    void relay(const ReplyTarget &target, const DaemonName &home, const std::string &action,
               const std::string &body);

    /// Returns the partition of a job's home; empty if its region is unknown.
    [[nodiscard]] PartitionId homePartition(const JobId &id) const;
    [[nodiscard]] JobId newId();

    HomeState &m_state;
    const WorkerLedger &m_ledger;
    TaskRunner &m_tasks;
    std::map<JobId, PendingAnswer> m_pendingSubmits;
    std::map<JobId, PendingAnswer> m_pendingCancels;
    std::map<OperationId, Relay> m_relays;
};

} // namespace cowsliprock::scheduling
