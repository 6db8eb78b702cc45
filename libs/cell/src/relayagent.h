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

/// Calls workers on behalf of the owners of shards. An owner sends batches of calls; the answer to
/// a batch is held until there are replies, the next batch comes or its time is over, so that an
/// owner with calls under way always has one batch waiting here.
class RelayAgent
{
public:
    RelayAgent(WorkerPort &workers, Timers &timers, const Membership &membership);
    ~RelayAgent();
    RelayAgent(const RelayAgent &) = delete;
    RelayAgent &operator=(const RelayAgent &) = delete;

    /// Refuses the batch of an owner that was followed by another one, and one that was under way
    /// so long that what it permits may have run out: this process or the sender was paused.
    void handle(const RelayBatch &batch, const Done<PeerAnswer> &done);

private:
    /// What is owed to the newest owner of one shard.
    struct Session
    {
        std::uint64_t ownershipRevision = 0;
        std::vector<RelayReply> replies;
        Done<PeerAnswer> waiting;  ///< Answers the batch that waits; empty if none does.
        std::uint64_t batches = 0; ///< Number of the newest batch.
        bool answering = false;    ///< The answer is gathered.
    };

    void begin(std::uint32_t shard, std::uint64_t revision, const RelayedStart &call);
    void begin(std::uint32_t shard, std::uint64_t revision, const RelayedStop &call);
    void begin(std::uint32_t shard, std::uint64_t revision, const RelayedInventory &call);
    /// Takes the outcome of a call that was begun for an owner.
    template <typename Reply, typename Outcome>
    [[nodiscard]] Done<Result<Outcome>> replyTo(std::uint32_t shard, std::uint64_t revision,
                                                std::uint64_t call);
    void reply(std::uint32_t shard, std::uint64_t revision, RelayReply reply);
    void answerSoon(std::uint32_t shard);
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
