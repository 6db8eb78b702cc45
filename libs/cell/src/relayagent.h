#pragma once

#include "membership.h"
#include "relaymessages.h"

#include <cell/ports.h>

#include <eventloop/timers.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace cowsliprock::cell {

/// Calls workers on behalf of shard owners. An owner sends batches of calls; the answer to a batch
/// is held until there are replies, the next batch arrives or the hold time is over (long polling).
/// An owner with pending calls therefore always has one batch waiting here.
class RelayAgent
{
public:
    RelayAgent(WorkerPort &workers, Timers &timers, const Membership &membership);
    ~RelayAgent();
    RelayAgent(const RelayAgent &) = delete;
    RelayAgent &operator=(const RelayAgent &) = delete;

    /// Rejects a batch from an owner that has been superseded, and a batch that is so old that the
    /// leases in it may have expired because this process or the sender was paused.
    void handle(const RelayBatch &batch, const Done<PeerAnswer> &done);

private:
    /// Replies to be sent to the latest owner of one shard.
    struct Session
    {
        std::uint64_t ownershipRevision = 0;
        std::vector<RelayReply> replies;
        Done<PeerAnswer> waiting;     ///< Responds to the waiting batch; empty if there is none.
        std::uint64_t batches = 0;    ///< Number of the latest batch.
        bool answerScheduled = false; ///< An answer has been scheduled.
    };

    void execute(std::uint32_t shard, std::uint64_t revision, const RelayedStart &call);
    void execute(std::uint32_t shard, std::uint64_t revision, const RelayedStop &call);
    void execute(std::uint32_t shard, std::uint64_t revision, const RelayedInventory &call);
    /// Returns a callback that handles the outcome of a call made for an owner.
    template <typename Reply, typename Outcome>
    [[nodiscard]] Done<Result<Outcome>> replyTo(std::uint32_t shard, std::uint64_t revision,
                                                std::uint64_t call);
    void reply(std::uint32_t shard, std::uint64_t revision, RelayReply reply);
    void scheduleAnswer(std::uint32_t shard);
    void answer(Session &session);
    [[nodiscard]] std::chrono::milliseconds clock() const;
    [[nodiscard]] bool stale(const RelayBatch &batch) const;

    WorkerPort &m_workers;
    Timers &m_timers;
    const Membership &m_membership;
    std::map<std::uint32_t, Session> m_sessions; ///< By shard.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
