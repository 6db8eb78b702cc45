#pragma once

#include <cell/model.h>

#include <base/error.h>

#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cowsliprock::cell {

template <typename T>
using Done = std::function<void(T)>;

/// True if a call that failed with \p error may have taken effect or may still do so.
[[nodiscard]] inline bool mayHaveTakenEffect(const Error &error) noexcept
{
    return error.kind == ErrorKind::Timeout;
}

struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Revision of the last change.
    std::uint64_t created = 0;
    std::uint64_t lease = 0; ///< 0 means none.
};

struct StorePage
{
    std::vector<StoreItem> items;
    bool more = false;
    std::uint64_t asOf = 0; ///< Revision of the store at the time of the list.
};

/// A change of one key. The item of a removed key has no value.
struct StoreEvent
{
    StoreItem item;
    bool removed = false;
};

struct StoreEvents
{
    std::vector<StoreEvent> events;
    std::uint64_t asOf = 0;
    bool historyLost = false; ///< The history was compacted; the prefix must be listed again.
};

struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0; ///< 0 means that the key must not exist.
};

struct StoreWrite
{
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
};

struct Transaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return conditions.size() + writes.size() + removals.size();
    }
};

struct Committed
{
    std::uint64_t revision = 0;
};

/// A condition of the transaction was not met; nothing was written.
struct ConditionFailed
{
    std::vector<StoreItem> present; ///< Existing items among the keys of the conditions.
};

struct LeaseMissing
{ };

using TransactionOutcome = std::variant<Committed, ConditionFailed, LeaseMissing>;

/// Maximum number of entries (conditions, writes and removals) of one transaction.
constexpr std::size_t maxTransactionEntries = 32;

/// Interface to the platform's key-value store.
class StorePort
{
public:
    virtual ~StorePort() = default;
    virtual void read(const std::string &key, Done<Result<std::optional<StoreItem>>> done) = 0;
    virtual void list(const std::string &prefix, const std::string &after,
                      Done<Result<StorePage>> done) = 0;
    virtual void watch(const std::string &prefix, std::uint64_t after, Duration wait,
                       Done<Result<StoreEvents>> done) = 0;
    virtual void commit(const Transaction &transaction, Done<Result<TransactionOutcome>> done) = 0;
    virtual void grantLease(Duration timeToLive, Done<Result<std::uint64_t>> done) = 0;
    /// The result is false if the lease has expired.
    virtual void keepLease(std::uint64_t lease, Done<Result<bool>> done) = 0;
    virtual void endLease(std::uint64_t lease) = 0;
};

/// The worker to which an order is sent.
struct WorkerTarget
{
    std::string id;
    std::string address;
    std::string dataCentre;
};

struct StartOrder
{
    TaskId task;
    std::uint32_t run = 0;
    std::string spec;
    std::chrono::milliseconds leaseUntil{}; ///< In terms of the worker's clock.
    std::uint64_t fencingToken = 0;
    std::string checkpoint;
    std::string ticket;
    /// Incarnation for which the order is meant. A port sends it only on a connection on which this
    /// incarnation has answered; if another one answers, the order is refused (OtherLife). Nothing
    /// means any incarnation.
    std::optional<std::int64_t> incarnation;
};

struct StopOrder
{
    TaskId task;
    std::uint32_t run = 0;
    std::uint64_t fencingToken = 0;
};

enum class OrderRefusal {
    Fenced,
    OldRun,
    Late,
    NoRoom,
    BadTicket,
    OtherLife,
    Unhealthy,
    Malformed
};

/// Options of one call to a worker.
struct OrderCall
{
    Duration timeout{};
    bool freshConnection = false; ///< Avoids pooled connections, which may be dead undetected.
};

struct OrderAccepted
{
    std::chrono::milliseconds clock{}; ///< Monotonic clock of the worker.
};

struct OrderRefused
{
    OrderRefusal reason = OrderRefusal::Malformed;
    std::chrono::milliseconds clock{};
};

using OrderOutcome = std::variant<OrderAccepted, OrderRefused>;

struct InventoryRequest
{
    std::uint64_t fencingToken = 0;
    /// Incarnation whose ends are acknowledged. A port sends the acknowledgement only on a
    /// connection on which this incarnation has answered, so that no other one receives it;
    /// otherwise it sends the request without it. Nothing means any incarnation.
    std::optional<std::int64_t> incarnation;
    std::uint64_t acknowledged = 0; ///< Number of the last finished run that has been persisted.
    std::optional<std::chrono::milliseconds> leaseUntil; ///< In terms of the worker's clock.
    Duration wait{};              ///< The worker responds when a task ends, or after this time.
    Duration timeout{};           ///< In addition to the wait.
    bool freshConnection = false; ///< Avoids pooled connections, which may be dead undetected.
};

/// Returns the request without what is meant for one incarnation only.
[[nodiscard]] inline InventoryRequest forAnyIncarnation(InventoryRequest request)
{
    request.incarnation.reset();
    request.acknowledged = 0;
    return request;
}

using InventoryOutcome = std::variant<Inventory, OrderRefused>;

/// Interface for sending orders to workers. After a timeout, \p done is called a second time if a
/// late response arrives.
class WorkerPort
{
public:
    virtual ~WorkerPort() = default;
    virtual void start(const WorkerTarget &worker, const StartOrder &order, const OrderCall &call,
                       Done<Result<OrderOutcome>> done) = 0;
    virtual void stop(const WorkerTarget &worker, const StopOrder &order, const OrderCall &call,
                      Done<Result<OrderOutcome>> done) = 0;
    virtual void inventory(const WorkerTarget &worker, const InventoryRequest &request,
                           Done<Result<InventoryOutcome>> done) = 0;
};

/// Authorization for a worker to run a step.
struct Ticket
{
    std::string worker;
    std::string value;
};

struct Advice
{
    std::vector<Ticket> allowed;
    Duration validity{};
};

/// Interface to the policy service of the queues.
class AdvicePort
{
public:
    virtual ~AdvicePort() = default;
    virtual void advise(const std::string &step, const std::vector<std::string> &workers,
                        Duration timeout, Done<Result<Advice>> done) = 0;
};

/// A request to another daemon of the cell.
struct PeerCall
{
    std::string address;
    std::string method;
    std::string path;
    std::string body;
    Duration timeout{};
};

struct PeerAnswer
{
    unsigned status = 0;
    std::string body;
};

class PeerPort
{
public:
    virtual ~PeerPort() = default;
    virtual void call(const PeerCall &call, Done<Result<PeerAnswer>> done) = 0;
};

} // namespace cowsliprock::cell
