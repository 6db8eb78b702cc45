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

/// Who waits for the answer of an identity.
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

/// Home of request identities: a non-idempotent request is dispatched after its intent is durable,
/// and at most once.
class Home
{
public:
    Home(Context &context, const HomeLocator &locator, Dispatcher &dispatcher);

    void forwarded(const DaemonIdentity &from, const message::Forward &forward);
    void submit(const RequestProfile &profile, const BodyKey &body, const PartitionId &partition,
                TimePoint deadline, Waiter waiter);
    void journalResult(const event::JournalResult &result);
    void workDone(const AttemptId &work, const RequestAnswer &answer);
    void acquired(const event::PartitionAcquired &partition);
    void lost(const PartitionId &partition);
    void tick();
    [[nodiscard]] bool idle() const noexcept;
    [[nodiscard]] const IdentityTable &settled() const noexcept { return m_settled; }

private:
    struct Active
    {
        enum class State {
            Journaling, ///< The intent is not known to be durable.
            Cancelled,  ///< As before, but the deadline passed: it will not be dispatched.
            Running
        };
        State state = State::Journaling;
        RequestProfile profile;
        BodyKey body;
        PartitionId partition;
        std::uint64_t acquisition = 0; ///< Of the partition, when the intent was appended.
        AttemptId intent;              ///< Also names the work of the dispatcher.
        TimePoint deadline;
        std::vector<Waiter> waiters;
    };

    using Actives = std::map<std::string, Active>;

    /// Answer to a request that needs no attempt of its own.
    [[nodiscard]] std::optional<RequestAnswer> known(const std::string &identity,
                                                     const RequestProfile &profile) const;
    void begin(const std::string &identity, Active active);
    void append(JournalEntry::Kind kind, const std::string &identity, const Active &active,
                std::uint64_t ticket);
    void finish(Actives::iterator active, const RequestAnswer &answer);
    void answerWaiters(Active &active, const RequestAnswer &answer);
    void answer(const Waiter &waiter, const RequestAnswer &answer);
    [[nodiscard]] bool stillOwned(const Active &active) const;

    Context &m_context;
    const HomeLocator &m_locator;
    Dispatcher &m_dispatcher;
    IdentityTable m_settled;
    AttemptMemory m_memory;
    Actives m_active;
    std::unordered_map<std::uint64_t, std::string> m_tickets; ///< Identities of pending intents.
    std::unordered_map<AttemptId, std::string> m_works;       ///< Identities being dispatched.
    std::set<std::pair<TimePoint, std::string>> m_deadlines;  ///< Of intents in the journal.
    std::map<PartitionId, std::uint64_t> m_partitions;        ///< Owned, with the acquisition.
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastAcquisition = 0;
};

} // namespace cowsliprock::requests
