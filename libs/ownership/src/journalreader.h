#pragma once

#include "context.h"
#include "storecalls.h"

#include <ownership/records.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cowsliprock::ownership {

/// Reads the journals of previous owners. Concurrent requests for the same journal share one read.
/// A failed read is retried until it succeeds.
class JournalReader
{
public:
    using Entries = std::vector<JournalEntry>;
    using Handler = std::function<void(const Entries &, EventContext &)>;

    JournalReader(const SharedState &shared, StoreCalls &calls) noexcept
        : m_shared(shared)
        , m_calls(calls)
    { }

    void read(const DaemonIdentity &identity, Handler handler, EventContext &context);
    void tick(EventContext &context);

private:
    struct PendingRead
    {
        std::vector<Handler> handlers;
        DaemonRecord record;
        std::optional<TimePoint> retryAt;
    };

    void readRecord(const DaemonIdentity &identity, EventContext &context);
    void readSegments(const DaemonIdentity &identity, EventContext &context);
    void completeRead(const DaemonIdentity &identity, const std::vector<event::StoreRow> &rows,
                      EventContext &context);
    [[nodiscard]] Entries decodeAll(const DaemonRecord &record,
                                    const std::vector<event::StoreRow> &rows,
                                    EventContext &context) const;

    const SharedState &m_shared;
    StoreCalls &m_calls;
    std::map<DaemonIdentity, PendingRead> m_pendingReads;
};

} // namespace cowsliprock::ownership
