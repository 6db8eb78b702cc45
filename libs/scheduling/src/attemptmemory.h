#pragma once

#include <base/id.h>
#include <base/time.h>
#include <kernel/messages.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace cowsliprock::scheduling {

/// Records of finished attempts on the owner side. They make message handling idempotent: a late
/// or duplicate message about a finished attempt does not start a task.
class AttemptMemory
{
public:
    enum class Disposition {
        Blocked,    ///< Must not be started here; it is unknown whether it runs on its worker.
        NotStarted, ///< Was never started and will not be.
        Ended       ///< Was started and has finished.
    };

    struct Record
    {
        Disposition disposition = Disposition::Blocked;
        message::TaskEnded ended;    ///< Set if the disposition is Ended.
        unsigned sent = 0;           ///< Number of times the end was reported to the home.
        DaemonIdentity notifiedHome; ///< Home that was notified last.
    };

    /// Every daemon has dropped messages that are older than this.
    static constexpr Duration retention = std::chrono::minutes(10);
    static constexpr std::size_t maximumRecords = 50'000;

    Record &insertRecord(const AttemptId &attempt, Record record, TimePoint now);
    [[nodiscard]] Record *find(const AttemptId &attempt);

private:
    std::map<AttemptId, Record> m_records;
    std::deque<std::pair<TimePoint, AttemptId>> m_order;
};

} // namespace cowsliprock::scheduling
