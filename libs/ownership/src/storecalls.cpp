#include "storecalls.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cowsliprock::ownership {

namespace {

// With a renewal interval of 2 s, two renewals may fail before the validity of 5 s ends.
constexpr Duration callTimeout = std::chrono::milliseconds(1500);

} // namespace

void StoreCalls::get(std::string key, Handler handler, EventContext &context)
{
    effect::StoreCall call;
    call.key = std::move(key);
    start(std::move(call), std::move(handler), context);
}

void StoreCalls::list(std::string prefix, Handler handler, EventContext &context)
{
    effect::StoreCall call;
    call.operation = effect::StoreCall::Operation::List;
    call.key = std::move(prefix);
    start(std::move(call), std::move(handler), context);
}

void StoreCalls::compareAndSwap(std::string key, std::uint64_t version, std::string value,
                                Handler handler, EventContext &context)
{
    effect::StoreCall call;
    call.operation = effect::StoreCall::Operation::CompareAndSwap;
    call.key = std::move(key);
    call.version = version;
    call.value = std::move(value);
    start(std::move(call), std::move(handler), context);
}

void StoreCalls::start(effect::StoreCall call, Handler handler, EventContext &context)
{
    call.call = CallId("ownership-" + std::to_string(++m_lastNumber));
    m_calls.emplace(call.call, Call{ context.now, std::move(handler) });
    context.output.perform(std::move(call));
}

void StoreCalls::handle(const event::StoreReply &reply, EventContext &context)
{
    if (auto node = m_calls.extract(reply.call))
        node.mapped().handler(reply, context);
}

void StoreCalls::tick(EventContext &context)
{
    std::vector<CallId> expired;
    for (const auto &[id, call] : m_calls) {
        if (context.now - call.startedAt >= callTimeout)
            expired.push_back(id);
    }
    std::sort(expired.begin(), expired.end());
    for (const auto &id : expired) {
        event::StoreReply reply;
        reply.call = id;
        handle(reply, context);
    }
}

} // namespace cowsliprock::ownership
