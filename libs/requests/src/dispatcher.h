#pragma once

#include "context.h"
#include "owner.h"
#include "ownerchoice.h"
#include "retrybudget.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace cowsliprock::requests {

/// Dispatches requests to owners: selects an owner, fails over to another one after a refusal,
/// retries idempotent requests within the retry budget, and stops at the deadline. An operation
/// serves one request and has one outstanding attempt at a time. Its result is queued as an
/// OperationResult.
class Dispatcher
{
public:
    Dispatcher(Context &context, Owner &owner);

    void start(Requester requester, const AttemptId &operation, const RequestProfile &profile,
               const BodyKey &body, TimePoint deadline);

    /// Handles the reply of an owner. Ignored unless the attempt is outstanding.
    void replied(const AttemptId &attempt, const RequestAnswer &answer);

    void peerStatus(const event::PeerStatus &status);

    /// Stops the operation: no further attempt is made and no result is queued.
    void abandon(const AttemptId &operation);

    void tick();

    [[nodiscard]] bool idle() const noexcept { return m_operations.empty(); }

private:
    struct Operation
    {
        Requester requester = Requester::Entry;
        RequestProfile profile;
        BodyKey body;
        TimePoint deadline;
        AttemptId attempt; ///< The outstanding attempt.
        DaemonIdentity target;
        std::set<DaemonName> refusedBy;
        std::uint32_t retries = 0;
        bool mayHaveRun = false; ///< The outcome of an earlier attempt is unknown.
    };

    using Operations = std::map<AttemptId, Operation>;

    /// Returns false if no owner is available.
    bool sendAttempt(const AttemptId &id, Operation &operation);
    void refused(Operations::iterator operation, const RequestAnswer &answer);
    void outcomeUnknown(Operations::iterator operation, const RequestAnswer &answer);
    void finish(Operations::iterator operation, RequestAnswer answer);
    [[nodiscard]] bool canAttemptAgain(const Operation &operation) const;
    [[nodiscard]] LocalLoad localLoad(const std::string &service) const;

    Context &m_context;
    Owner &m_owner;
    OwnerChoice m_ownerChoice;
    std::map<std::string, RetryBudget> m_retryBudgets;
    Operations m_operations;
    std::unordered_map<AttemptId, AttemptId> m_outstanding; ///< Operation of each attempt.
    std::set<std::pair<TimePoint, AttemptId>> m_deadlines;
    std::map<DaemonName, std::uint64_t> m_incarnations;
};

} // namespace cowsliprock::requests
