#include "submissions.h"

#include "records.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Each job takes up two conditions and one write of a transaction.
constexpr std::size_t maxJobsPerTransaction = maxTransactionEntries / 3;
constexpr std::size_t maxInFlight = 4;
constexpr std::chrono::milliseconds retryDelay{ 100 };

} // namespace

Submissions::Submissions(StoreRouter &store, Timers &timers, Metrics &metrics)
    : m_store(store)
    , m_timers(timers)
    , m_metrics(metrics)
{ }

Submissions::~Submissions()
{
    *m_alive = false;
}

void Submissions::submit(const std::string &key, const std::string &endedKey, std::string value,
                         TimePoint deadline, Done<Submission> done)
{
    if (!m_store.available()) {
        m_metrics.count("submissions.refusedAtOnce");
        done({ SubmitResult::NotStored, 0 });
        return;
    }
    enqueue({ key, endedKey, std::move(value), deadline, false, std::move(done) });
}

void Submissions::enqueue(Entry entry)
{
    m_waiting.push_back(std::move(entry));
    if (std::exchange(m_scheduled, true))
        return;
    m_timers.after(Duration::zero(), [this, alive = m_alive] {
        if (!*alive)
            return;
        m_scheduled = false;
        flush();
    });
}

void Submissions::flush()
{
    while (!m_waiting.empty() && m_inFlight < maxInFlight) {
        std::vector<Entry> batch;
        std::deque<Entry> rest;
        for (auto &entry : m_waiting) {
            const bool duplicate =
                std::any_of(batch.begin(), batch.end(),
                            [&entry](const Entry &other) { return other.key == entry.key; });
            if (duplicate || batch.size() >= maxJobsPerTransaction)
                rest.push_back(std::move(entry));
            else
                batch.push_back(std::move(entry));
        }
        m_waiting = std::move(rest);
        send(std::move(batch));
    }
}

void Submissions::send(std::vector<Entry> batch)
{
    Transaction transaction;
    for (const auto &entry : batch) {
        transaction.conditions.push_back({ entry.key, 0 });
        transaction.conditions.push_back({ entry.endedKey, 0 });
        transaction.writes.push_back({ entry.key, entry.value, 0 });
    }
    ++m_inFlight;
    m_store.commit(transaction,
                   [this, alive = m_alive,
                    batch = std::move(batch)](const Result<TransactionOutcome> &outcome) mutable {
                       if (!*alive)
                           return;
                       --m_inFlight;
                       finished(std::move(batch), outcome);
                       flush();
                   });
}

void Submissions::finished(std::vector<Entry> batch, const Result<TransactionOutcome> &outcome)
{
    if (!outcome.has_value()) {
        failed(std::move(batch), mayHaveTakenEffect(outcome.error()));
        return;
    }
    if (const auto *committed = std::get_if<Committed>(&outcome.value())) {
        for (auto &entry : batch)
            finish(entry, { SubmitResult::Accepted, committed->revision });
        return;
    }
    const auto *failed = std::get_if<ConditionFailed>(&outcome.value());
    for (auto &entry : batch) {
        const auto earlier = failed != nullptr ? earlierResult(entry, *failed) : std::nullopt;
        if (earlier)
            finish(entry, { *earlier, 0 });
        else
            enqueue(std::move(entry));
    }
}

std::optional<SubmitResult> Submissions::earlierResult(const Entry &entry,
                                                       const ConditionFailed &failed)
{
    const auto existing =
        std::find_if(failed.present.begin(), failed.present.end(), [&entry](const StoreItem &item) {
            return item.key == entry.key || item.key == entry.endedKey;
        });
    if (existing == failed.present.end())
        return std::nullopt;
    if (existing->key == entry.endedKey && existing->value == notStoredRecord)
        return SubmitResult::NotStored;
    // The key was created by an earlier attempt or by the same submission to another daemon.
    return SubmitResult::Accepted;
}

void Submissions::failed(std::vector<Entry> batch, bool mayHaveTakenEffect)
{
    const auto now = m_timers.now();
    for (auto &entry : batch) {
        entry.uncertain = entry.uncertain || mayHaveTakenEffect;
        if (now + retryDelay >= entry.deadline) {
            finish(entry, { entry.uncertain ? SubmitResult::Unknown : SubmitResult::NotStored, 0 });
        } else if (!entry.uncertain && !m_store.available()) {
            finish(entry, { SubmitResult::NotStored, 0 });
        } else {
            m_timers.after(retryDelay, [this, alive = m_alive, entry = std::move(entry)] {
                if (*alive)
                    enqueue(entry);
            });
        }
    }
}

void Submissions::finish(Entry &entry, const Submission &submission)
{
    const bool accepted = submission.result == SubmitResult::Accepted;
    m_metrics.count(accepted ? "submissions.accepted" : "submissions.failed");
    entry.done(submission);
}

} // namespace cowsliprock::cell
