#pragma once

#include "context.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace cowsliprock::ownership {

/// Outstanding store calls with the handlers of their replies. A call without a reply within the
/// time-out completes as Unavailable, and a later reply is dropped.
class StoreCalls
{
public:
    using Handler = std::function<void(const event::StoreReply &, EventContext &)>;

    void get(std::string key, Handler handler, EventContext &context);
    void list(std::string prefix, Handler handler, EventContext &context);
    void compareAndSwap(std::string key, std::uint64_t version, std::string value, Handler handler,
                        EventContext &context);

    void handle(const event::StoreReply &reply, EventContext &context);
    void tick(EventContext &context);

    /// Discards all outstanding calls; their replies are dropped.
    void clear() noexcept { m_calls.clear(); }

private:
    struct Call
    {
        TimePoint startedAt;
        Handler handler;
    };

    void start(effect::StoreCall call, Handler handler, EventContext &context);

    std::uint64_t m_lastNumber = 0;
    std::unordered_map<CallId, Call> m_calls;
};

} // namespace cowsliprock::ownership
