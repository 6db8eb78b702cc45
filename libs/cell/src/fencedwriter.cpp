#include "fencedwriter.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Changes are collected for this long, so that one transaction carries many of them.
constexpr std::chrono::milliseconds urgentBatchDelay{ 20 };
constexpr std::chrono::milliseconds batchDelay{ 35 };
constexpr std::chrono::milliseconds deferredBatchDelay{ 500 };
constexpr std::chrono::milliseconds retryDelay{ 120 };
/// Maximum number of transactions in flight; the store may be in another region.
constexpr std::size_t maxInFlight = 8;
/// Maximum number of changes examined to fill one transaction.
constexpr std::size_t maxExamined = 200;

Duration batchDelayOf(Urgency urgency) noexcept
{
    switch (urgency) {
    case Urgency::Now:
        return urgentBatchDelay;
    case Urgency::Soon:
        return batchDelay;
    case Urgency::Later:
        return deferredBatchDelay;
    }
    return batchDelay;
}

/// New value of a key; nullopt removes the key.
struct KeyUpdate
{
    std::string key;
    std::optional<std::string> value;
};

/// Updates of keys that are written in one transaction.
struct Change
{
    std::uint64_t sequence = 0;
    Urgency urgency = Urgency::Soon;
    bool conditional = true; ///< Compares the revisions of its keys.
    std::vector<KeyUpdate> updates;
    std::vector<FencedWriter::Action> actions; ///< Called when the change is durable.

    [[nodiscard]] std::size_t entries() const noexcept
    {
        return updates.size() * (conditional ? 2 : 1);
    }
};

} // namespace

struct FencedWriter::State : std::enable_shared_from_this<FencedWriter::State>
{
    using Order = std::pair<Urgency, std::uint64_t>;
    using Batch = std::vector<Change>;

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
    std::map<Order, Change> pending; ///< Not sent yet, by urgency and sequence number.
    std::unordered_map<std::string, Order> pendingOfKey;      ///< First pending change of a key.
    std::unordered_map<std::string, std::uint64_t> revisions; ///< Revisions of the keys that exist.
    std::unordered_set<std::string> keysInFlight;
    std::set<std::uint64_t> unfinished; ///< Sequence numbers of changes that are not durable yet.
    std::deque<std::pair<std::uint64_t, Action>> waiters;
    std::uint64_t lastSequence = 0;
    std::size_t inFlight = 0;
    TimePoint nextFlush = TimePoint::max();
    bool closed = false;

    void add(Change change);
    void mergePending(Change &change, const std::string &key);
    /// Replaces \p older with \p newer, which takes over its position in the order.
    void supersede(Change &newer, Change &older);
    void insert(Change change);
    void schedule(Duration delay);
    void flush();
    Batch takeBatch();
    [[nodiscard]] bool blocked(const Change &change) const;
    void send(Batch batch);
    [[nodiscard]] Transaction transactionOf(const Batch &batch) const;
    void finished(Batch batch, const Result<TransactionOutcome> &outcome);
    void committed(const Batch &batch, std::uint64_t revision);
    bool adoptRevisions(const Batch &batch, const ConditionFailed &failed);
    void requeue(Batch batch);
    void notifyWaiters();
};

void FencedWriter::State::add(Change change)
{
    change.sequence = ++lastSequence;
    for (const auto &update : change.updates)
        mergePending(change, update.key);
    if (change.urgency != Urgency::Later)
        unfinished.insert(change.sequence);
    const auto delay = batchDelayOf(change.urgency);
    insert(std::move(change));
    schedule(delay);
}

void FencedWriter::State::mergePending(Change &change, const std::string &key)
{
    const auto found = pendingOfKey.find(key);
    if (found == pendingOfKey.end())
        return;
    const auto entry = pending.find(found->second);
    Change &older = entry->second;
    // A change of several keys is not merged; later changes of these keys wait for it.
    if (older.updates.size() > 1)
        return;
    supersede(change, older);
    pending.erase(entry);
    pendingOfKey.erase(found);
}

void FencedWriter::State::supersede(Change &newer, Change &older)
{
    unfinished.erase(newer.sequence);
    unfinished.erase(older.sequence);
    newer.sequence = std::min(newer.sequence, older.sequence);
    newer.urgency = std::min(newer.urgency, older.urgency);
    // Callbacks of the older value are called when the newer one is durable.
    newer.actions.insert(newer.actions.begin(), std::make_move_iterator(older.actions.begin()),
                         std::make_move_iterator(older.actions.end()));
    if (newer.urgency != Urgency::Later)
        unfinished.insert(newer.sequence);
}

void FencedWriter::State::insert(Change change)
{
    const Order order(change.urgency, change.sequence);
    for (const auto &update : change.updates)
        pendingOfKey.try_emplace(update.key, order);
    pending.emplace(order, std::move(change));
}

void FencedWriter::State::schedule(Duration delay)
{
    const auto due = timers.now() + delay;
    if (due >= nextFlush)
        return;
    nextFlush = due;
    timers.after(delay, [self = shared_from_this(), due] {
        // Superseded by a timer that was set for an earlier time.
        if (self->closed || self->nextFlush != due)
            return;
        self->nextFlush = TimePoint::max();
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

bool FencedWriter::State::blocked(const Change &change) const
{
    const Order order(change.urgency, change.sequence);
    return std::any_of(change.updates.begin(), change.updates.end(), [&](const KeyUpdate &update) {
        // Two transactions in flight may be applied in either order, so they must not share a key.
        if (keysInFlight.contains(update.key))
            return true;
        const auto first = pendingOfKey.find(update.key);
        return first != pendingOfKey.end() && first->second != order;
    });
}

FencedWriter::State::Batch FencedWriter::State::takeBatch()
{
    Batch batch;
    std::size_t entries = 1; // The fence.
    std::size_t examined = 0;
    for (auto entry = pending.begin(); entry != pending.end() && ++examined <= maxExamined;) {
        Change &change = entry->second;
        if (entries + change.entries() > maxTransactionEntries || blocked(change)) {
            ++entry;
            continue;
        }
        entries += change.entries();
        for (const auto &update : change.updates) {
            keysInFlight.insert(update.key);
            pendingOfKey.erase(update.key);
        }
        batch.push_back(std::move(change));
        entry = pending.erase(entry);
    }
    return batch;
}

Transaction FencedWriter::State::transactionOf(const Batch &batch) const
{
    Transaction transaction;
    transaction.conditions.push_back(fence);
    for (const auto &change : batch) {
        for (const auto &update : change.updates) {
            if (change.conditional) {
                const auto revision = revisions.find(update.key);
                transaction.conditions.push_back(
                    { update.key, revision == revisions.end() ? 0 : revision->second });
            }
            if (update.value)
                transaction.writes.push_back({ update.key, *update.value, 0 });
            else
                transaction.removals.push_back(update.key);
        }
    }
    return transaction;
}

void FencedWriter::State::send(Batch batch)
{
    ++inFlight;
    const auto transaction = transactionOf(batch);
    store.commit(transaction,
                 [self = shared_from_this(),
                  batch = std::move(batch)](const Result<TransactionOutcome> &outcome) mutable {
                     --self->inFlight;
                     if (!self->closed)
                         self->finished(std::move(batch), outcome);
                 });
}

void FencedWriter::State::finished(Batch batch, const Result<TransactionOutcome> &outcome)
{
    for (const auto &change : batch) {
        for (const auto &update : change.updates)
            keysInFlight.erase(update.key);
    }
    if (!outcome.has_value()) {
        // Retrying is safe even if the outcome is unknown: the same values are written under the
        // same fence.
        requeue(std::move(batch));
        schedule(retryDelay);
        return;
    }
    if (const auto *stored = std::get_if<Committed>(&outcome.value())) {
        committed(batch, stored->revision);
        return;
    }
    const auto *failed = std::get_if<ConditionFailed>(&outcome.value());
    if (failed != nullptr && adoptRevisions(batch, *failed)) {
        requeue(std::move(batch));
        schedule(Duration::zero());
        return;
    }
    closed = true;
    // The destructor clears the callback, whose receiver may be gone when the timer fires.
    timers.after(Duration::zero(), [self = shared_from_this()] {
        if (const auto notify = std::exchange(self->lost, {}))
            notify();
    });
}

void FencedWriter::State::committed(const Batch &batch, std::uint64_t revision)
{
    for (const auto &change : batch) {
        unfinished.erase(change.sequence);
        for (const auto &update : change.updates) {
            if (update.value)
                revisions[update.key] = revision;
            else
                revisions.erase(update.key);
        }
    }
    if (!pending.empty())
        schedule(Duration::zero());
    for (const auto &change : batch) {
        for (const auto &action : change.actions) {
            if (!closed && action)
                action();
        }
    }
    notifyWaiters();
}

bool FencedWriter::State::adoptRevisions(const Batch &batch, const ConditionFailed &failed)
{
    const auto isFence = [this](const StoreItem &item) { return item.key == fence.key; };
    const auto owner = std::find_if(failed.present.begin(), failed.present.end(), isFence);
    if (owner == failed.present.end() || owner->revision != fence.revision)
        return false;
    // This daemon is the only writer, so unexpected revisions result from its own writes whose
    // responses were lost.
    for (const auto &change : batch) {
        for (const auto &update : change.updates)
            revisions.erase(update.key);
    }
    for (const auto &item : failed.present) {
        if (!isFence(item))
            revisions[item.key] = item.revision;
    }
    return true;
}

void FencedWriter::State::requeue(Batch batch)
{
    for (auto &change : batch) {
        const auto newer = change.updates.size() > 1
            ? pendingOfKey.end()
            : pendingOfKey.find(change.updates.front().key);
        if (newer == pendingOfKey.end()) {
            for (const auto &update : change.updates)
                pendingOfKey.erase(update.key);
            insert(std::move(change));
            continue;
        }
        // Superseded by a newer value that was added in the meantime.
        auto replacement = pending.extract(newer->second);
        Change &kept = replacement.mapped();
        for (const auto &update : kept.updates)
            pendingOfKey.erase(update.key);
        supersede(kept, change);
        insert(std::move(kept));
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
    m_state->lost = {};
}

void FencedWriter::setRevision(const std::string &key, std::uint64_t revision)
{
    m_state->revisions[key] = revision;
}

void FencedWriter::write(const std::string &key, std::string value, Urgency urgency, Action durable)
{
    Change change;
    change.urgency = urgency;
    change.updates.push_back({ key, std::move(value) });
    if (durable)
        change.actions.push_back(std::move(durable));
    m_state->add(std::move(change));
}

void FencedWriter::remove(const std::string &key)
{
    Change change;
    change.urgency = Urgency::Later;
    change.updates.push_back({ key, std::nullopt });
    m_state->add(std::move(change));
}

void FencedWriter::writeFinal(const std::string &key, std::string value,
                              const std::vector<std::string> &removed, Action durable)
{
    Change change;
    change.urgency = Urgency::Now;
    change.conditional = false;
    change.updates.push_back({ key, std::move(value) });
    for (const auto &other : removed)
        change.updates.push_back({ other, std::nullopt });
    if (durable)
        change.actions.push_back(std::move(durable));
    m_state->add(std::move(change));
}

void FencedWriter::whenDurable(Action action)
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

} // namespace cowsliprock::cell
