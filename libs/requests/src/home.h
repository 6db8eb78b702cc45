#pragma once

#include "attemptmemory.h"
#include "context.h"
#include "dispatcher.h"
#include "homelocator.h"
#include "identitytable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cowsliprock::requests {

/// Recipients of the answer to an identity.
struct RemoteWaiter
{
    DaemonName daemon;
    AttemptId forward;
};
struct LocalWaiter
{
    RequestId request;
};
using Waiter = std::variant<LocalWaiter, RemoteWaiter>;

/// Home role of request identities: a non-idempotent request is dispatched at most once, and only
/// after its intent is durable.
class Home
{
public:
    Home(Context &context, const HomeLocator &locator, Dispatcher &dispatcher);

    void forwarded(const DaemonIdentity &from, const message::Forward &forward);
    void submit(const RequestProfile &profile, const BodyKey &body, const PartitionId &partition,
                TimePoint deadline, Waiter waiter);
    void journalResult(const event::JournalResult &result);
    void operationFinished(const AttemptId &operation, const RequestAnswer &answer);
    void acquired(const event::PartitionAcquired &partition);
    void lost(const PartitionId &partition);
    void tick();
    [[nodiscard]] bool idle() const noexcept;
    [[nodiscard]] const IdentityTable &identities() const noexcept { return m_identities; }

private:
    struct ActiveRequest
    {
        enum class State {
            Journaling, ///< The intent is not yet known to be durable.
            Cancelled,  ///< As Journaling, but past the deadline: it will not be dispatched.
            Running
        };
        State state = State::Journaling;
        RequestProfile profile;
        BodyKey body;
        PartitionId partition;
        std::uint64_t acquisition = 0; ///< Partition acquisition that appended the intent.
        AttemptId intent;              ///< Also identifies the dispatcher operation.
        TimePoint deadline;
        std::vector<Waiter> waiters;
    };

    using ActiveRequests = std::map<std::string, ActiveRequest>;

    /// Returns the answer to a request that needs no new attempt.
    [[nodiscard]] std::optional<RequestAnswer> existingAnswer(const std::string &identity,
                                                              const RequestProfile &profile) const;
    void begin(const std::string &identity, ActiveRequest active);
    void appendEntry(JournalEntry::Kind kind, const std::string &identity,
                     const ActiveRequest &active, std::uint64_t ticket);
    void finish(ActiveRequests::iterator active, const RequestAnswer &answer);
    void answerWaiters(ActiveRequest &active, const RequestAnswer &answer);
    void answer(const Waiter &waiter, const RequestAnswer &answer);
    [[nodiscard]] bool stillOwned(const ActiveRequest &active) const;

    Context &m_context;
    const HomeLocator &m_locator;
    Dispatcher &m_dispatcher;
    IdentityTable m_identities;
    AttemptMemory m_seenAttempts;
    ActiveRequests m_active;
    std::unordered_map<std::uint64_t, std::string> m_tickets; ///< Identities of pending intents.
    std::unordered_map<AttemptId, std::string> m_operations; ///< Identities of dispatched requests.
    std::set<std::pair<TimePoint, std::string>> m_deadlines; ///< Of intents being journaled.
    std::map<PartitionId, std::uint64_t> m_partitions;       ///< Owned, with acquisition numbers.
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastAcquisition = 0;
};

} // namespace cowsliprock::requests
