#pragma once

#include "storevalue.h"

#include <kernel/identity.h>

#include <deque>
#include <optional>

namespace cowsliprock {

/// A validated configuration change submitted by an operator.
struct ApplyRequest
{
    OperationId operation;
    std::uint64_t baseVersion = 0;
    nlohmann::json document;
};

/// Applies the changes of operators one at a time. Each change is first written as a proposal, then
/// committed by a compare-and-swap of /configuration/current, which makes it accepted, and finally
/// marked as accepted in its change record for the watchers.
class ApplyFlow
{
public:
    ApplyFlow(VersionKeeper &versions, CallSequence &calls, DaemonIdentity self)
        : m_versions(versions)
        , m_calls(calls)
        , m_self(std::move(self))
    { }

    void add(ApplyRequest request, Output &output);
    void advance(TimePoint now, Output &output);

    /// Returns false if the reply does not belong to a call of this object.
    bool handle(const event::StoreReply &reply, TimePoint now, Output &output);

    /// Last version that this daemon committed; 0 if none.
    [[nodiscard]] std::uint64_t acceptedVersion() const noexcept { return m_acceptedVersion; }

    /// Returns true once after a write was abandoned with an unknown outcome, then resets the flag.
    [[nodiscard]] bool takeUnresolved() noexcept { return std::exchange(m_unresolved, false); }

private:
    enum class Step { Idle, Loading, Proposing, Committing, Marking };

    void begin(TimePoint now, Output &output);
    void prepare();
    void send(TimePoint now, Output &output);
    void retryLater(TimePoint now);
    void finish() noexcept;

    void handleLoading(const event::StoreReply &reply, TimePoint now, Output &output);
    void handleProposing(const event::StoreReply &reply, TimePoint now, Output &output);
    void handleCommitting(const event::StoreReply &reply, TimePoint now, Output &output);
    void handleCommitConflict(const event::StoreReply &reply, TimePoint now, Output &output);
    void handleMarking(const event::StoreReply &reply, TimePoint now, Output &output);
    void accepted(std::uint64_t row, TimePoint now, Output &output);

    void answerAccepted(std::uint64_t version, Output &output);
    void answerConflict(Output &output);
    void answerUnavailable(const char *reason, bool unknown, Output &output);
    void answer(int status, const nlohmann::json &body, Output &output);

    VersionKeeper &m_versions;
    CallSequence &m_calls;
    DaemonIdentity m_self;

    std::deque<ApplyRequest> m_requests; ///< The first one is in progress unless m_step is Idle.
    Step m_step = Step::Idle;
    bool m_reloaded = false;
    int m_attempts = 0;
    CallId m_call;
    std::optional<TimePoint> m_retryAt;
    std::optional<TimePoint> m_retryDeadline;

    ConfigurationRecord m_next;
    ChangeRecord m_change;
    std::uint64_t m_currentRow = 0; ///< Expected row version of /configuration/current.
    std::uint64_t m_changeRow = 0;  ///< Expected row version of the change.
    std::uint64_t m_writeCount = 0;
    std::uint64_t m_acceptedVersion = 0;
    bool m_unresolved = false;
};

} // namespace cowsliprock
