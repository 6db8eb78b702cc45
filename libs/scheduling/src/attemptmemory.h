#pragma once

#include <base/id.h>
#include <base/time.h>
#include <kernel/messages.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace cowsliprock::scheduling {

/// What an owner remembers of attempts that are over, so that a late or repeated message about one
/// starts nothing.
class AttemptMemory
{
public:
    enum class Fate {
        Barred,     ///< Must not start here; whether it runs on its worker is not known.
        NotStarted, ///< Never started, and will not.
        Ended       ///< Was started and has ended.
    };

    struct Record
    {
        Fate fate = Fate::Barred;
        message::TaskEnded ended;   ///< For Ended.
        unsigned sent = 0;          ///< How often the end was sent to the home.
        DaemonIdentity announcedTo; ///< Home that was told last.
    };

    /// Messages that are older than this have been dropped by every daemon.
    static constexpr Duration retention = std::chrono::minutes(10);
    static constexpr std::size_t maximumRecords = 50'000;

    Record &remember(const AttemptId &attempt, Record record, TimePoint now);
    [[nodiscard]] Record *find(const AttemptId &attempt);

private:
    std::map<AttemptId, Record> m_records;
    std::deque<std::pair<TimePoint, AttemptId>> m_order;
};

} // namespace cowsliprock::scheduling
