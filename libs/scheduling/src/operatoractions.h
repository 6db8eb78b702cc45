#pragma once

#include "homestate.h"
#include "taskrunner.h"
#include "workerledger.h"

#include <map>
#include <string>
#include <vector>

namespace cowsliprock::scheduling {

/// Answers the operator actions submit, status, jobs, cancel and workers, here or at the home of
/// the job.
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

    /// Follows the writes of job rows.
    void rowResult(const JobRows::Result &result);
    void tick();
    void partitionLost(const PartitionId &partition);

private:
    /// Who waits for an answer: an operator of this daemon, or another daemon.
    struct Target
    {
        DaemonName relayedBy; ///< Empty for an operator of this daemon.
        OperationId operation;
    };
    struct Waiting
    {
        std::vector<Target> targets;
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

    void answer(const Target &target, int httpStatus, const std::string &body);
    void refuse(const Target &target, const std::string &error, Duration retryAfter);
    void submit(const Target &target, const std::string &body);
    void accept(const Target &target, const AcceptedJob &job, const PartitionId &partition);
    void acceptIfDurable(const JobId &id, Waiting &waiting);
    void abandon(const JobId &id, Waiting &waiting);
    void status(const Target &target, const JobId &id);
    void cancel(const Target &target, const JobId &id);
    void mark(Job &job);
    void toHome(const Target &target, const std::string &action, const std::string &body);
    void relay(const Target &target, const DaemonName &home, const std::string &action,
               const std::string &body);

    /// Partition of the home of a job; empty if its region is unknown.
    [[nodiscard]] PartitionId homePartition(const JobId &id) const;
    [[nodiscard]] JobId newId();

    HomeState &m_state;
    const WorkerLedger &m_ledger;
    TaskRunner &m_tasks;
    std::map<JobId, Waiting> m_submits;
    std::map<JobId, Waiting> m_cancels;
    std::map<OperationId, Relay> m_relays;
};

} // namespace cowsliprock::scheduling
