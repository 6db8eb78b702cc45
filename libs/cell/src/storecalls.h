#pragma once

#include <cell/ports.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cowsliprock::cell {

// Store calls as values, so that one daemon can make them on behalf of another.

struct StoreReadCall
{
    std::string key;
};

struct StoreListCall
{
    std::string prefix;
    std::string after;
};

struct StoreWatchCall
{
    std::string prefix;
    std::uint64_t after = 0;
    Duration wait{};
};

struct StoreCommitCall
{
    Transaction transaction;
};

struct StoreGrantCall
{
    Duration timeToLive{};
};

struct StoreKeepCall
{
    std::uint64_t lease = 0;
};

using StoreCall = std::variant<StoreReadCall, StoreListCall, StoreWatchCall, StoreCommitCall,
                               StoreGrantCall, StoreKeepCall>;

struct LeaseGranted
{
    std::uint64_t lease = 0;
};

struct LeaseKept
{
    bool kept = false; ///< False if the lease has expired.
};

/// Each alternative is the reply to the StoreCall alternative with the same index.
using StoreReply = std::variant<std::optional<StoreItem>, StorePage, StoreEvents,
                                TransactionOutcome, LeaseGranted, LeaseKept>;

/// Makes \p call on \p store.
void perform(const StoreCall &call, StorePort &store, const Done<Result<StoreReply>> &done);

/// How long the store may delay its response, as for a watch.
[[nodiscard]] Duration waitOf(const StoreCall &call) noexcept;

/// True if the call can safely be made twice.
[[nodiscard]] bool isIdempotent(const StoreCall &call) noexcept;

/// Encoding of the messages between daemons. They use CBOR, since keys and values are arbitrary
/// bytes. The decoders return nullopt if the bytes are malformed.
[[nodiscard]] std::string encode(const StoreCall &call);
[[nodiscard]] std::string encode(const StoreReply &reply);
[[nodiscard]] std::optional<StoreCall> decodeStoreCall(const std::string &bytes);
[[nodiscard]] std::optional<StoreReply> decodeStoreReply(const std::string &bytes);

} // namespace cowsliprock::cell
