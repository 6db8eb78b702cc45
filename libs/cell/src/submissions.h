#pragma once

#include "storerouter.h"

#include <cell/clientresults.h>

#include <base/metrics.h>
#include <eventloop/timers.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Outcome of a submission.
struct Submission
{
    SubmitResult result = SubmitResult::Unknown;
    std::uint64_t revision = 0; ///< Of the job key; 0 if this submission did not create it.
};

/// Stores new jobs. A job is accepted when the key with its ID has been created, which happens at
/// most once. Jobs that are submitted at about the same time share a transaction.
class Submissions
{
public:
    Submissions(StoreRouter &store, Timers &timers, Metrics &metrics);
    ~Submissions();
    Submissions(const Submissions &) = delete;
    Submissions &operator=(const Submissions &) = delete;

    /// Retries until \p deadline, or until the store is known to be unavailable and no attempt can
    /// have taken effect. \p done is called exactly once.
    /// \p endedKey exists if the job was accepted earlier and has already ended, or if it was
    /// cancelled before it was stored.
    void submit(const std::string &key, const std::string &endedKey, std::string value,
                TimePoint deadline, Done<Submission> done);

private:
    struct Entry
    {
        std::string key;
        std::string endedKey;
        std::string value;
        TimePoint deadline{};
        bool uncertain = false; ///< An attempt may have taken effect.
        Done<Submission> done;
    };

    void flush();
    void send(std::vector<Entry> batch);
    void finished(std::vector<Entry> batch, const Result<TransactionOutcome> &outcome);
    /// Outcome of the submission if the store already has a record of the job.
    [[nodiscard]] static std::optional<SubmitResult> earlierResult(const Entry &entry,
                                                                   const ConditionFailed &failed);
    void failed(std::vector<Entry> batch, bool mayHaveTakenEffect);
    void finish(Entry &entry, const Submission &submission);
    void enqueue(Entry entry);

    StoreRouter &m_store;
    Timers &m_timers;
    Metrics &m_metrics;
    std::deque<Entry> m_waiting;
    std::size_t m_inFlight = 0;
    bool m_scheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
