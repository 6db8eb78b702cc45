#include "fencedwriter.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Changes are gathered this long, so that one transaction carries many of them.
constexpr std::chrono::milliseconds gatherTime{ 15 };
constexpr std::chrono::milliseconds retryDelay{ 120 };
/// Transactions in flight; the store may be in another region.
constexpr std::size_t maxInFlight = 4;
/// Each change takes a condition and a write; the fence is one more condition.
constexpr std::size_t maxChanges = (maxTransactionEntries - 1) / 2;

} // namespace

struct FencedWriter::State : std::enable_shared_from_this<FencedWriter::State>
{
    struct Change
    {
        std::optional<std::string> value; ///< Nothing: the key is removed.
        std::uint64_t sequence = 0;
    };
    using Batch = std::vector<std::pair<std::string, Change>>;

    State(StorePort &storePort, Timers &timerPort, StoreCondition condition,
          std::function<void()> onLost)
        : store(storePort)
        , timers(timerPort)
        , fence(std::move(condition))
        , lost(std::move(onLost))
    { }

    StorePort &store;
    Timers &timers;
    StoreCondition fence;
    std::function<void()> lost;
    std::map<std::string, Change> changes;          ///< Not sent yet.
    std::map<std::string, std::uint64_t> revisions; ///< Of the keys that exist.
    std::set<std::string> keysInFlight;
    std::set<std::uint64_t> unfinished; ///< Sequence numbers that are not durable.
    std::deque<std::pair<std::uint64_t, std::function<void()>>> waiters;
    std::uint64_t lastSequence = 0;
    std::size_t inFlight = 0;
    bool scheduled = false;
    bool closed = false;

    void add(const std::string &key, std::optional<std::string> value);
    void schedule(Duration delay);
    void flush();
    Batch takeBatch();
    void send(Batch batch);
    void finished(const Batch &batch, const Result<TransactionOutcome> &outcome);
    bool adoptRevisions(const Batch &batch, const ConditionFailed &failed);
    void putBack(const Batch &batch);
    void notifyWaiters();
};

void FencedWriter::State::add(const std::string &key, std::optional<std::string> value)
{
    auto [entry, added] = changes.try_emplace(key);
    if (added) {
        entry->second.sequence = ++lastSequence;
        unfinished.insert(lastSequence);
    }
    // A replaced value keeps its place: who waits for it waits for the newer value.
    entry->second.value = std::move(value);
    schedule(gatherTime);
}

void FencedWriter::State::schedule(Duration delay)
{
    if (std::exchange(scheduled, true))
        return;
    timers.after(delay, [self = shared_from_this()] {
        self->scheduled = false;
        if (!self->closed)
            self->flush();
    });
}

void FencedWriter::State::flush()
{
    while (inFlight < maxInFlight) {
        auto batch = takeBatch();
        if (batch.empty())
            return;
        send(std::move(batch));
    }
}

FencedWriter::State::Batch FencedWriter::State::takeBatch()
{
    Batch batch;
    for (auto entry = changes.begin(); entry != changes.end() && batch.size() < maxChanges;) {
        // Two transactions in flight may overtake each other, so they never share a key.
        if (keysInFlight.contains(entry->first)) {
            ++entry;
            continue;
        }
        keysInFlight.insert(entry->first);
        batch.emplace_back(entry->first, std::move(entry->second));
        entry = changes.erase(entry);
    }
    return batch;
}

void FencedWriter::State::send(Batch batch)
{
    Transaction transaction;
    transaction.conditions.push_back(fence);
    for (const auto &[key, change] : batch) {
        const auto revision = revisions.find(key);
        transaction.conditions.push_back(
            { key, revision == revisions.end() ? 0 : revision->second });
        if (change.value)
            transaction.writes.push_back({ key, *change.value, 0 });
        else
            transaction.removals.push_back(key);
    }
    ++inFlight;
    store.commit(transaction,
                 [self = shared_from_this(),
                  batch = std::move(batch)](const Result<TransactionOutcome> &outcome) {
                     --self->inFlight;
                     if (!self->closed)
                         self->finished(batch, outcome);
                 });
}

void FencedWriter::State::finished(const Batch &batch, const Result<TransactionOutcome> &outcome)
{
    for (const auto &[key, change] : batch)
        keysInFlight.erase(key);
    if (!outcome.has_value()) {
        // Sent again, also if the outcome is unknown: the same values under the same fence.
        putBack(batch);
        schedule(retryDelay);
        return;
    }
    const auto *committed = std::get_if<Committed>(&outcome.value());
    if (committed == nullptr) {
        const auto *failed = std::get_if<ConditionFailed>(&outcome.value());
        if (failed != nullptr && adoptRevisions(batch, *failed)) {
            putBack(batch);
            schedule(Duration::zero());
            return;
        }
        closed = true;
        timers.after(Duration::zero(), std::exchange(lost, {}));
        return;
    }
    for (const auto &[key, change] : batch) {
        unfinished.erase(change.sequence);
        if (change.value)
            revisions[key] = committed->revision;
        else
            revisions.erase(key);
    }
    notifyWaiters();
    if (!changes.empty())
        schedule(Duration::zero());
}

bool FencedWriter::State::adoptRevisions(const Batch &batch, const ConditionFailed &failed)
{
    const auto isFence = [this](const StoreItem &item) { return item.key == fence.key; };
    const auto owner = std::find_if(failed.present.begin(), failed.present.end(), isFence);
    if (owner == failed.present.end() || owner->revision != fence.revision)
        return false;
    // This daemon is the only writer: other revisions come from its own writes without an answer.
    for (const auto &[key, change] : batch)
        revisions.erase(key);
    for (const auto &item : failed.present) {
        if (!isFence(item))
            revisions[item.key] = item.revision;
    }
    return true;
}

void FencedWriter::State::putBack(const Batch &batch)
{
    for (const auto &[key, change] : batch) {
        // A newer value that arrived meanwhile replaces this one and takes its place.
        if (const auto [entry, added] = changes.try_emplace(key, change); !added) {
            unfinished.erase(entry->second.sequence);
            entry->second.sequence = change.sequence;
        }
    }
}

void FencedWriter::State::notifyWaiters()
{
    const auto oldest = unfinished.empty() ? lastSequence + 1 : *unfinished.begin();
    while (!closed && !waiters.empty() && waiters.front().first < oldest) {
        const auto action = std::move(waiters.front().second);
        waiters.pop_front();
        action();
    }
}

FencedWriter::FencedWriter(StorePort &store, Timers &timers, StoreCondition fence,
                           std::function<void()> lost)
    : m_state(std::make_shared<State>(store, timers, std::move(fence), std::move(lost)))
{ }

FencedWriter::~FencedWriter()
{
    m_state->closed = true;
}

void FencedWriter::known(const std::string &key, std::uint64_t revision)
{
    m_state->revisions[key] = revision;
}

void FencedWriter::write(const std::string &key, std::string value)
{
    m_state->add(key, std::move(value));
}

void FencedWriter::remove(const std::string &key)
{
    m_state->add(key, std::nullopt);
}

void FencedWriter::whenDurable(std::function<void()> action)
{
    if (m_state->unfinished.empty()) {
        m_state->timers.after(Duration::zero(), [state = m_state, action = std::move(action)] {
            if (!state->closed)
                action();
        });
        return;
    }
    m_state->waiters.emplace_back(m_state->lastSequence, std::move(action));
}

bool FencedWriter::idle() const noexcept
{
    return m_state->unfinished.empty();
}

std::size_t FencedWriter::waiting() const noexcept
{
    return m_state->unfinished.size();
}

} // namespace cowsliprock::cell
