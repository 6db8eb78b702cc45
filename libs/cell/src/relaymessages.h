#pragma once

#include <cell/ports.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowsliprock::cell {

/// Calls of workers that the owner of a shard makes through another daemon, and what became of
/// them. A number identifies a call between one owner and one daemon.

struct RelayedStart
{
    std::uint64_t call = 0;
    WorkerTarget worker;
    StartOrder order;
    OrderCall options;
};

struct RelayedStop
{
    std::uint64_t call = 0;
    WorkerTarget worker;
    StopOrder order;
    OrderCall options;
};

struct RelayedInventory
{
    std::uint64_t call = 0;
    WorkerTarget worker;
    InventoryRequest request;
};

using RelayedCall = std::variant<RelayedStart, RelayedStop, RelayedInventory>;

struct RelayBatch
{
    std::uint32_t shard = 0;
    std::uint64_t ownershipRevision = 0; ///< Of the sender; a higher one shuts it out.
    /// Clock of the receiver when the batch was sent, as far as the sender knows it. Without it the
    /// receiver makes no call: it could not tell a batch that was under way for seconds.
    std::optional<std::chrono::milliseconds> clock;
    std::vector<RelayedCall> calls;
};

struct OrderReply
{
    std::uint64_t call = 0;
    std::variant<OrderOutcome, Error> outcome;
};

struct InventoryReply
{
    std::uint64_t call = 0;
    std::variant<InventoryOutcome, Error> outcome;
};

using RelayReply = std::variant<OrderReply, InventoryReply>;

/// The answer to a batch.
struct RelayAnswer
{
    std::chrono::milliseconds clock{}; ///< Of the daemon that answers, for the next batch.
    bool stale = false;                ///< The batch came too late: none of its calls was made.
    std::vector<RelayReply> replies;   ///< To the calls of this and of earlier batches.
};

[[nodiscard]] std::string encode(const RelayBatch &batch);
[[nodiscard]] std::string encode(const RelayAnswer &answer);

/// Nothing for malformed text.
[[nodiscard]] std::optional<RelayBatch> decodeRelayBatch(const std::string &text);
[[nodiscard]] std::optional<RelayAnswer> decodeRelayAnswer(const std::string &text);

} // namespace cowsliprock::cell
