#pragma once

#include "context.h"
#include "storecalls.h"

#include <ownership/records.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cowsliprock::ownership {

/// Reads the journals of earlier owners. One read serves all partitions that want the same journal
/// at the same time. A failed read is repeated until it succeeds.
class JournalReader
{
public:
    using Entries = std::vector<JournalEntry>;
    using Handler = std::function<void(const Entries &, EventContext &)>;

    JournalReader(const Shared &shared, StoreCalls &calls) noexcept
        : m_shared(shared)
        , m_calls(calls)
    { }

    void read(const DaemonIdentity &identity, Handler handler, EventContext &context);
    void tick(EventContext &context);

private:
    struct Load
    {
        std::vector<Handler> handlers;
        DaemonRecord record;
        std::optional<TimePoint> retryAt;
    };

    void readRecord(const DaemonIdentity &identity, EventContext &context);
    void readSegments(const DaemonIdentity &identity, EventContext &context);
    void finish(const DaemonIdentity &identity, const std::vector<event::StoreRow> &rows,
                EventContext &context);
    [[nodiscard]] Entries decodeAll(const DaemonRecord &record,
                                    const std::vector<event::StoreRow> &rows,
                                    EventContext &context) const;

    const Shared &m_shared;
    StoreCalls &m_calls;
    std::map<DaemonIdentity, Load> m_loads;
};

} // namespace cowsliprock::ownership
