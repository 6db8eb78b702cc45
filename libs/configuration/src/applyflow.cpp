#include "applyflow.h"

#include "documentpatch.h"

namespace cowsliprock {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using Operation = effect::StoreCall::Operation;
using event::StoreStatus;

constexpr std::size_t maxQueuedRequests = 8;
constexpr int maxAttempts = 8;
constexpr Duration retryInterval = 500ms;

/// Upper bound on how long an operator waits while the store does not answer.
constexpr Duration writeRetryTimeout = 10s;

} // namespace

void ApplyFlow::add(ApplyRequest request, Output &output)
{
    if (m_requests.size() >= maxQueuedRequests) {
        output.perform(effect::AnswerOperator{
            request.operation, 503,
            R"({"error":"too many changes wait on this daemon","outcome":"not-run","retryAfterMs":1000})" });
        return;
    }
    m_requests.push_back(std::move(request));
}

void ApplyFlow::advance(TimePoint now, Output &output)
{
    if (m_step == Step::Committing && m_retryDeadline && now >= *m_retryDeadline
        && m_call.empty()) {
        answerUnavailable("the store does not answer; read the configuration before trying again",
                          true, output);
        m_unresolved = true;
        finish();
    }
    if (m_step == Step::Marking && m_retryDeadline && now >= *m_retryDeadline && m_call.empty())
        finish(); // The watchers will read the change from /configuration/current.
    if (m_retryAt && now >= *m_retryAt)
        send(now, output);
    while (m_step == Step::Idle && !m_requests.empty())
        begin(now, output);
}

void ApplyFlow::begin(TimePoint now, Output &output)
{
    const ApplyRequest &request = m_requests.front();
    if (request.baseVersion > m_versions.version() && !m_reloaded) {
        m_step = Step::Loading;
        send(now, output);
        return;
    }
    if (request.baseVersion != m_versions.version()) {
        answerConflict(output);
        finish();
        return;
    }
    if (request.document == m_versions.record().document && m_versions.version() > 0) {
        answerAccepted(m_versions.version(), output);
        finish();
        return;
    }
    prepare();
    m_step = Step::Proposing;
    send(now, output);
}

void ApplyFlow::prepare()
{
    const ConfigurationRecord &record = m_versions.record();
    const WriteId write = m_self.text() + "/" + std::to_string(++m_writeCount);
    m_next = {
        record.version + 1, record.row + 1, {}, record.history, m_requests.front().document
    };
    m_next.digest = documentDigest(m_next.document);
    appendWrite(m_next.history, { m_next.version, write });
    m_change = {
        m_next.version, record.version, 0, false, m_next.digest, { m_next.history.back() }, {}
    };
    if (json patch = makePatch(record.document, m_next.document);
        patch.dump().size() <= maxPatchBytes)
        m_change.patch = std::move(patch);
    m_currentRow = record.row;
    m_changeRow = 0;
}

void ApplyFlow::send(TimePoint, Output &output)
{
    m_retryAt.reset();
    m_call = m_calls.next();
    effect::StoreCall call{ m_call, Operation::CompareAndSwap, currentKey, m_currentRow, {} };
    if (m_step == Step::Loading) {
        call.operation = Operation::Get;
        call.version = 0;
    } else if (m_step == Step::Committing) {
        call.value = encodeConfigurationRecord(m_next);
    } else {
        call.key = changeKey(m_change.version);
        call.version = m_changeRow;
        call.value = encodeChange(m_change);
    }
    output.perform(std::move(call));
}

void ApplyFlow::retryLater(TimePoint now)
{
    m_retryAt = now + retryInterval;
    if (!m_retryDeadline)
        m_retryDeadline = now + writeRetryTimeout;
}

void ApplyFlow::finish() noexcept
{
    m_step = Step::Idle;
    m_reloaded = false;
    m_attempts = 0;
    m_call = {};
    m_retryAt.reset();
    m_retryDeadline.reset();
    m_requests.pop_front();
}

bool ApplyFlow::handle(const event::StoreReply &reply, TimePoint now, Output &output)
{
    if (m_call.empty() || reply.call != m_call)
        return false;
    m_call = {};
    switch (m_step) {
    case Step::Idle:
        break;
    case Step::Loading:
        handleLoading(reply, now, output);
        break;
    case Step::Proposing:
        handleProposing(reply, now, output);
        break;
    case Step::Committing:
        handleCommitting(reply, now, output);
        break;
    case Step::Marking:
        handleMarking(reply, now, output);
        break;
    }
    return true;
}

void ApplyFlow::handleLoading(const event::StoreReply &reply, TimePoint now, Output &output)
{
    if (reply.status == StoreStatus::Unavailable) {
        answerUnavailable("the store is unavailable", false, output);
        finish();
        return;
    }
    if (reply.status == StoreStatus::Ok)
        adoptStored(m_versions, reply.version, reply.value, output);
    m_reloaded = true;
    m_step = Step::Idle;
    begin(now, output);
}

void ApplyFlow::handleProposing(const event::StoreReply &reply, TimePoint now, Output &output)
{
    if (reply.status == StoreStatus::Ok) {
        m_changeRow = reply.version;
        m_step = Step::Committing;
        m_attempts = 0;
        send(now, output);
        return;
    }
    // The change was not accepted: a proposal has no effect until /configuration/current is
    // written.
    if (reply.status == StoreStatus::Unavailable || ++m_attempts > maxAttempts) {
        answerUnavailable("the store is unavailable", false, output);
        finish();
        return;
    }
    const auto stored = decodeChange(reply.value);
    if (stored && stored.value().accepted && !m_reloaded) {
        // Another writer committed first; the read returns its version.
        m_step = Step::Loading;
    } else if (!stored || !stored.value().accepted) {
        m_changeRow = reply.version;
    } else {
        answerUnavailable("the store answers reads with an old state", false, output);
        finish();
        return;
    }
    send(now, output);
}

void ApplyFlow::handleCommitting(const event::StoreReply &reply, TimePoint now, Output &output)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        accepted(reply.version, now, output);
        break;
    case StoreStatus::Unavailable:
        // The write may have taken effect. Repeating it either succeeds or fails with a conflict
        // that returns the current value, which shows whether the first attempt succeeded.
        retryLater(now);
        break;
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
        handleCommitConflict(reply, now, output);
        break;
    }
}

void ApplyFlow::handleCommitConflict(const event::StoreReply &reply, TimePoint now, Output &output)
{
    const auto stored = decodeConfigurationRecord(reply.value);
    if (stored && stored.value().contains(m_change.version, m_change.writes.back().write)) {
        if (stored.value().version == m_change.version) {
            accepted(reply.version, now, output);
            return;
        }
        // The change was accepted, and so was a later one.
        adoptStored(m_versions, reply.version, reply.value, output);
        answerAccepted(m_change.version, output);
        finish();
        return;
    }
    const StoredState state = adoptStored(m_versions, reply.version, reply.value, output);
    // The row does not exist or the store was rolled back to an older state. Overwriting it is safe
    // in both cases, since the change has a higher version than any daemon holds.
    const bool overwritable =
        state == StoredState::Absent || (stored && stored.value().version <= m_change.from);
    if (overwritable && ++m_attempts <= maxAttempts) {
        m_currentRow = reply.version;
        send(now, output);
        return;
    }
    if (overwritable || state == StoredState::Unreadable)
        answerUnavailable("the store holds an unreadable configuration or changes too often", false,
                          output);
    else
        answerConflict(output);
    finish();
}

void ApplyFlow::accepted(std::uint64_t row, TimePoint now, Output &output)
{
    m_next.row = row;
    m_change.row = row;
    m_change.accepted = true;
    m_acceptedVersion = m_change.version;
    m_versions.adopt(std::move(m_next));
    answerAccepted(m_change.version, output);
    m_step = Step::Marking;
    m_attempts = 0;
    m_retryDeadline.reset();
    send(now, output);
}

void ApplyFlow::handleMarking(const event::StoreReply &reply, TimePoint now, Output &output)
{
    if (reply.status == StoreStatus::Unavailable) {
        retryLater(now);
        return;
    }
    const auto stored = decodeChange(reply.value);
    const bool marked = reply.status == StoreStatus::Ok || (stored && stored.value().accepted);
    if (marked || ++m_attempts > maxAttempts) {
        finish();
        return;
    }
    // A competing writer overwrote the proposal before it noticed that it had lost the race.
    m_changeRow = reply.version;
    send(now, output);
}

void ApplyFlow::answerAccepted(std::uint64_t version, Output &output)
{
    answer(200, { { "version", version } }, output);
}

void ApplyFlow::answerConflict(Output &output)
{
    output.count("configuration_conflicts");
    answer(409,
           { { "version", m_versions.version() },
             { "error",
               "the change was made for version " + std::to_string(m_requests.front().baseVersion)
                   + ", but version " + std::to_string(m_versions.version()) + " is in force" } },
           output);
}

void ApplyFlow::answerUnavailable(const char *reason, bool unknown, Output &output)
{
    answer(503,
           { { "error", reason },
             { "outcome", unknown ? "unknown" : "not-run" },
             { "retryAfterMs", 1000 } },
           output);
}

void ApplyFlow::answer(int status, const nlohmann::json &body, Output &output)
{
    output.perform(effect::AnswerOperator{ m_requests.front().operation, status, body.dump() });
}

} // namespace cowsliprock
