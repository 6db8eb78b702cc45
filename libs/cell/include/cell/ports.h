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

/// True if a call that failed with \p error may have taken effect, now or later.
[[nodiscard]] inline bool mayHaveTakenEffect(const Error &error) noexcept
{
    return error.kind == ErrorKind::Timeout;
}

struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of the last change.
    std::uint64_t created = 0;
    std::uint64_t lease = 0; ///< 0: none.
};

struct StorePage
{
    std::vector<StoreItem> items;
    bool more = false;
    std::uint64_t asOf = 0; ///< Revision of the store.
};

/// A change of one key. A removed key has no value.
struct StoreEvent
{
    StoreItem item;
    bool removed = false;
};

struct StoreEvents
{
    std::vector<StoreEvent> events;
    std::uint64_t asOf = 0;
    bool historyLost = false; ///< The watch must begin anew with a list.
};

struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0; ///< 0: the key must not exist.
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

/// A condition did not hold; nothing was written.
struct ConditionFailed
{
    std::vector<StoreItem> present; ///< The keys of the conditions that exist.
};

struct LeaseMissing
{ };

using TransactionOutcome = std::variant<Committed, ConditionFailed, LeaseMissing>;

/// Entries (conditions, writes and removals together) of one transaction.
constexpr std::size_t maxTransactionEntries = 32;

/// The platform's key-value store.
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
    /// The result is false if the lease has ended.
    virtual void keepLease(std::uint64_t lease, Done<Result<bool>> done) = 0;
    virtual void endLease(std::uint64_t lease) = 0;
};

/// Which life of which worker an order is for.
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
    std::chrono::milliseconds leaseUntil{}; ///< On the worker's clock.
    std::uint64_t fencingToken = 0;
    std::string checkpoint;
    std::string ticket;
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

/// How one call of a worker is made.
struct OrderCall
{
    Duration timeout{};
    bool freshConnection = false; ///< Not over a connection that may have died unnoticed.
};

struct OrderAccepted
{
    std::chrono::milliseconds clock{}; ///< The worker's own steady clock.
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
    std::uint64_t acknowledged = 0; ///< Number of the last end that is durable.
    std::optional<std::chrono::milliseconds> leaseUntil; ///< On the worker's clock.
    Duration wait{};              ///< The worker answers when a task ends, or after this time.
    Duration timeout{};           ///< Beyond the wait.
    bool freshConnection = false; ///< Not over a connection that may have died unnoticed.
};

using InventoryOutcome = std::variant<Inventory, OrderRefused>;

/// Orders to workers. After a timeout, \p done is called a second time if the answer is only late.
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

/// A worker that may run a step, with the proof to show it.
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

/// The policy service of queues.
class AdvicePort
{
public:
    virtual ~AdvicePort() = default;
    virtual void advise(const std::string &step, const std::vector<std::string> &workers,
                        Duration timeout, Done<Result<Advice>> done) = 0;
};

/// Another daemon of the cell.
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
