#pragma once

#include <cell/ports.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowsliprock::cell {

/// Worker calls that a shard owner makes through another daemon, and their outcomes. A call is
/// identified by a number that is unique between one owner and one daemon.

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
    std::uint64_t ownershipRevision = 0; ///< Of the sender; a higher revision fences it off.
    /// Clock of the receiver when the batch was sent, as estimated by the sender. Without it the
    /// receiver makes none of the calls, since it could not detect a batch that is seconds old.
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
    std::chrono::milliseconds clock{}; ///< Clock of the responding daemon, for the next batch.
    bool stale = false;                ///< The batch was too old: none of its calls was made.
    std::vector<RelayReply> replies;   ///< Replies to calls of this and earlier batches.
};

[[nodiscard]] std::string encode(const RelayBatch &batch);
[[nodiscard]] std::string encode(const RelayAnswer &answer);

/// The decoders return nullopt if the text is malformed.
[[nodiscard]] std::optional<RelayBatch> decodeRelayBatch(const std::string &text);
[[nodiscard]] std::optional<RelayAnswer> decodeRelayAnswer(const std::string &text);

} // namespace cowsliprock::cell
