#pragma once

#include <cell/clientresults.h>
#include <cell/ports.h>

#include <base/metrics.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Stores new jobs. A job is accepted when the key of its id has been created, which happens at
/// most once. Jobs that arrive together share a transaction.
class Submissions
{
public:
    Submissions(StorePort &store, Timers &timers, Metrics &metrics);
    ~Submissions();
    Submissions(const Submissions &) = delete;
    Submissions &operator=(const Submissions &) = delete;

    /// Tries until \p deadline. \p done is called exactly once.
    /// \p endedKey exists if the job was accepted before and has ended.
    void submit(const std::string &key, const std::string &endedKey, std::string value,
                TimePoint deadline, Done<SubmitResult> done);

    /// True if the last calls of the store failed and none has succeeded since.
    [[nodiscard]] bool storeFailing() const noexcept;

    /// How long the calls of the store have failed; zero while they succeed.
    [[nodiscard]] Duration outage() const noexcept;

private:
    struct Entry
    {
        std::string key;
        std::string endedKey;
        std::string value;
        TimePoint deadline{};
        bool uncertain = false; ///< A try may have taken effect.
        Done<SubmitResult> done;
    };

    void flush();
    void send(std::vector<Entry> batch);
    void finished(std::vector<Entry> batch, const Result<TransactionOutcome> &outcome);
    void finish(Entry &entry, SubmitResult result);
    void again(Entry entry);

    StorePort &m_store;
    Timers &m_timers;
    Metrics &m_metrics;
    std::deque<Entry> m_waiting;
    std::size_t m_inFlight = 0;
    std::uint32_t m_failures = 0;
    TimePoint m_failingSince{}; ///< While there are failures.
    TimePoint m_nextProbe{};
    bool m_scheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
