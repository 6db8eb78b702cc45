#pragma once

#include <cell/ports.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cowsliprock::cell {

// Calls of the store as values, so that a daemon can make them on behalf of another one.

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
    bool kept = false; ///< False: it has ended.
};

/// Answer of the alternative of the same number in StoreCall.
using StoreReply = std::variant<std::optional<StoreItem>, StorePage, StoreEvents,
                                TransactionOutcome, LeaseGranted, LeaseKept>;

/// Makes a call.
void perform(const StoreCall &call, StorePort &store, const Done<Result<StoreReply>> &done);

/// How long the store may hold back its answer.
[[nodiscard]] Duration waitOf(const StoreCall &call) noexcept;

/// True if the call may be made twice without harm.
[[nodiscard]] bool isIdempotent(const StoreCall &call) noexcept;

/// Bodies of the calls between daemons, as CBOR, since keys and values are any bytes. The decoders
/// return nothing if the bytes are malformed.
[[nodiscard]] std::string encode(const StoreCall &call);
[[nodiscard]] std::string encode(const StoreReply &reply);
[[nodiscard]] std::optional<StoreCall> decodeStoreCall(const std::string &bytes);
[[nodiscard]] std::optional<StoreReply> decodeStoreReply(const std::string &bytes);

} // namespace cowsliprock::cell
