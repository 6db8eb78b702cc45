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

/// Has a request served by an owner: chooses the owner, passes on to another one after a refusal,
/// retries idempotent requests under the budget, and gives up at the deadline. One attempt of a
/// request is outstanding at a time. The result is queued as a WorkDone.
class Dispatcher
{
public:
    Dispatcher(Context &context, Owner &owner);

    void start(Requester requester, const AttemptId &work, const RequestProfile &profile,
               const BodyKey &body, TimePoint deadline);

    /// Reply of an owner. Ignored unless the attempt is outstanding.
    void replied(const AttemptId &attempt, const RequestAnswer &answer);

    void peerStatus(const event::PeerStatus &status);

    /// No further attempt is made for the work; its result is dropped.
    void abandon(const AttemptId &work);

    void tick();

    [[nodiscard]] bool idle() const noexcept { return m_works.empty(); }

private:
    struct Work
    {
        Requester requester = Requester::Entry;
        RequestProfile profile;
        BodyKey body;
        TimePoint deadline;
        AttemptId attempt; ///< The outstanding one.
        DaemonIdentity target;
        std::set<DaemonName> refusedBy;
        std::uint32_t retries = 0;
        bool mayHaveRun = false; ///< An earlier attempt has an unknown outcome.
    };

    using Works = std::map<AttemptId, Work>;

    /// Returns false if no owner can be asked.
    bool sendAttempt(const AttemptId &id, Work &work);
    void refused(Works::iterator work, const RequestAnswer &answer);
    void outcomeUnknown(Works::iterator work, const RequestAnswer &answer);
    void finish(Works::iterator work, RequestAnswer answer);
    [[nodiscard]] bool timeForAnother(const Work &work) const;
    [[nodiscard]] OwnLoad ownLoad(const std::string &service) const;

    Context &m_context;
    Owner &m_owner;
    OwnerChoice m_choice;
    std::map<std::string, RetryBudget> m_budgets;
    Works m_works;
    std::unordered_map<AttemptId, AttemptId> m_outstanding; ///< Work of each attempt.
    std::set<std::pair<TimePoint, AttemptId>> m_deadlines;
    std::map<DaemonName, std::uint64_t> m_incarnations;
};

} // namespace cowsliprock::requests
