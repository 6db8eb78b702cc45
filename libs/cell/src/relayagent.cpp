#include "relayagent.h"

#include "peermessages.h"
#include "relaytimes.h"

#include <utility>

namespace cowsliprock::cell {

namespace {

/// Replies are collected for this long and sent in one answer.
constexpr std::chrono::milliseconds batchDelay{ 6 };
/// An older batch was delayed on its way, and so were its orders.
constexpr std::chrono::milliseconds maxBatchAge{ 1500 };

template <typename T>
std::variant<T, Error> toVariant(const Result<T> &result)
{
    if (result.has_value())
        return result.value();
    return result.error();
}

} // namespace

RelayAgent::RelayAgent(WorkerPort &workers, Timers &timers, const Membership &membership)
    : m_workers(workers)
    , m_timers(timers)
    , m_membership(membership)
{ }

RelayAgent::~RelayAgent()
{
    *m_alive = false;
}

void RelayAgent::handle(const RelayBatch &batch, const Done<PeerAnswer> &done)
{
    auto &session = m_sessions[batch.shard];
    const auto owner = m_membership.owner(batch.shard);
    const auto newest = std::max(session.ownershipRevision, owner ? owner->revision : 0);
    if (batch.ownershipRevision < newest) {
        done({ statusConflict, "{}" });
        return;
    }
    if (batch.ownershipRevision > session.ownershipRevision) {
        answer(session);
        session = Session{ batch.ownershipRevision, {}, {}, session.batches, false };
    }
    answer(session);
    if (stale(batch)) {
        done(
            { statusOk, encode(RelayAnswer{ clock(), true, std::exchange(session.replies, {}) }) });
        return;
    }
    session.waiting = done;
    const auto number = ++session.batches;
    m_timers.after(relayHoldTime, [this, alive = m_alive, shard = batch.shard, number] {
        if (*alive && m_sessions[shard].batches == number)
            answer(m_sessions[shard]);
    });
    if (!session.replies.empty())
        scheduleAnswer(batch.shard);
    for (const auto &call : batch.calls)
        std::visit([&](const auto &each) { execute(batch.shard, batch.ownershipRevision, each); },
                   call);
}

template <typename Reply, typename Outcome>
Done<Result<Outcome>> RelayAgent::replyTo(std::uint32_t shard, std::uint64_t revision,
                                          std::uint64_t call)
{
    return [this, alive = m_alive, shard, revision, call](const Result<Outcome> &outcome) {
        if (*alive)
            reply(shard, revision, Reply{ call, toVariant(outcome) });
    };
}

void RelayAgent::execute(std::uint32_t shard, std::uint64_t revision, const RelayedStart &call)
{
    m_workers.start(call.worker, call.order, call.options,
                    replyTo<OrderReply, OrderOutcome>(shard, revision, call.call));
}

void RelayAgent::execute(std::uint32_t shard, std::uint64_t revision, const RelayedStop &call)
{
    m_workers.stop(call.worker, call.order, call.options,
                   replyTo<OrderReply, OrderOutcome>(shard, revision, call.call));
}

void RelayAgent::execute(std::uint32_t shard, std::uint64_t revision, const RelayedInventory &call)
{
    m_workers.inventory(call.worker, call.request,
                        replyTo<InventoryReply, InventoryOutcome>(shard, revision, call.call));
}

void RelayAgent::reply(std::uint32_t shard, std::uint64_t revision, RelayReply reply)
{
    auto &session = m_sessions[shard];
    // The previous owner no longer sends batches.
    if (session.ownershipRevision != revision)
        return;
    session.replies.push_back(std::move(reply));
    scheduleAnswer(shard);
}

void RelayAgent::scheduleAnswer(std::uint32_t shard)
{
    auto &session = m_sessions[shard];
    if (!session.waiting || std::exchange(session.answerScheduled, true))
        return;
    m_timers.after(batchDelay, [this, alive = m_alive, shard] {
        if (*alive)
            answer(m_sessions[shard]);
    });
}

void RelayAgent::answer(Session &session)
{
    session.answerScheduled = false;
    if (const auto waiting = std::exchange(session.waiting, {}))
        waiting({ statusOk,
                  encode(RelayAnswer{ clock(), false, std::exchange(session.replies, {}) }) });
}

std::chrono::milliseconds RelayAgent::clock() const
{
    return std::chrono::milliseconds(toMilliseconds(m_timers.now().time_since_epoch()));
}

bool RelayAgent::stale(const RelayBatch &batch) const
{
    return !batch.clock || clock() - *batch.clock > maxBatchAge;
}

} // namespace cowsliprock::cell
