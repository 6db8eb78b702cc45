#include "storecalls.h"

#include <base/readjson.h>

#include <stdexcept>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Adapts a callback for a StoreReply to the result type of one kind of call.
template <typename Reply, typename T>
Done<Result<T>> replyCallback(const Done<Result<StoreReply>> &done)
{
    return [done](const Result<T> &result) {
        if (result.has_value())
            done(StoreReply(Reply{ result.value() }));
        else
            done(result.error());
    };
}

struct Performer
{
    StorePort &store;
    const Done<Result<StoreReply>> &done;

    void operator()(const StoreReadCall &call) const
    {
        using Item = std::optional<StoreItem>;
        store.read(call.key, replyCallback<Item, Item>(done));
    }
    void operator()(const StoreListCall &call) const
    {
        store.list(call.prefix, call.after, replyCallback<StorePage, StorePage>(done));
    }
    void operator()(const StoreWatchCall &call) const
    {
        store.watch(call.prefix, call.after, call.wait,
                    replyCallback<StoreEvents, StoreEvents>(done));
    }
    void operator()(const StoreCommitCall &call) const
    {
        store.commit(call.transaction, replyCallback<TransactionOutcome, TransactionOutcome>(done));
    }
    void operator()(const StoreGrantCall &call) const
    {
        store.grantLease(call.timeToLive, replyCallback<LeaseGranted, std::uint64_t>(done));
    }
    void operator()(const StoreKeepCall &call) const
    {
        store.keepLease(call.lease, replyCallback<LeaseKept, bool>(done));
    }
};

Json toJson(const StoreItem &item)
{
    return Json::array({ item.key, item.value, item.revision, item.created, item.lease });
}

/// Throws if the key is not valid UTF-8, since it could not be sent to the store.
std::string keyOf(const Json &json)
{
    static_cast<void>(json.dump());
    return json.get<std::string>();
}

std::uint64_t numberOf(const Json &json)
{
    return integerOf<std::uint64_t>(json);
}

Duration durationOf(const Json &json)
{
    const auto duration = timeOf<Duration>(json);
    if (duration < Duration::zero())
        throw std::out_of_range("negative time");
    return duration;
}

StoreItem itemOf(const Json &json)
{
    return { keyOf(json.at(0)), json.at(1), numberOf(json.at(2)), numberOf(json.at(3)),
             numberOf(json.at(4)) };
}

Json toJson(const std::vector<StoreItem> &items)
{
    Json rows = Json::array();
    for (const auto &item : items)
        rows.push_back(toJson(item));
    return rows;
}

std::vector<StoreItem> itemsOf(const Json &json)
{
    std::vector<StoreItem> items;
    for (const auto &row : json)
        items.push_back(itemOf(row));
    return items;
}

Json toJson(const Transaction &transaction)
{
    Json conditions = Json::array();
    for (const auto &condition : transaction.conditions)
        conditions.push_back(Json::array({ condition.key, condition.revision }));
    Json writes = Json::array();
    for (const auto &write : transaction.writes)
        writes.push_back(Json::array({ write.key, write.value, write.lease }));
    return Json::array({ std::move(conditions), std::move(writes), transaction.removals });
}

Transaction transactionOf(const Json &json)
{
    Transaction transaction;
    for (const auto &row : json.at(0))
        transaction.conditions.push_back({ keyOf(row.at(0)), numberOf(row.at(1)) });
    for (const auto &row : json.at(1))
        transaction.writes.push_back({ keyOf(row.at(0)), row.at(1), numberOf(row.at(2)) });
    for (const auto &key : json.at(2))
        transaction.removals.push_back(keyOf(key));
    return transaction;
}

// Members of a message, which follow the index of the variant alternative.

Json membersOf(const StoreReadCall &call)
{
    return Json::array({ call.key });
}

Json membersOf(const StoreListCall &call)
{
    return Json::array({ call.prefix, call.after });
}

Json membersOf(const StoreWatchCall &call)
{
    return Json::array({ call.prefix, call.after, call.wait.count() });
}

Json membersOf(const StoreCommitCall &call)
{
    return Json::array({ toJson(call.transaction) });
}

Json membersOf(const StoreGrantCall &call)
{
    return Json::array({ call.timeToLive.count() });
}

Json membersOf(const StoreKeepCall &call)
{
    return Json::array({ call.lease });
}

Json membersOf(const std::optional<StoreItem> &item)
{
    return item ? Json::array({ toJson(*item) }) : Json::array();
}

Json membersOf(const StorePage &page)
{
    return Json::array({ toJson(page.items), page.more, page.asOf });
}

Json membersOf(const StoreEvents &events)
{
    Json rows = Json::array();
    for (const auto &event : events.events)
        rows.push_back(Json::array({ toJson(event.item), event.removed }));
    return Json::array({ std::move(rows), events.asOf, events.historyLost });
}

Json membersOf(const TransactionOutcome &outcome)
{
    if (const auto *committed = std::get_if<Committed>(&outcome))
        return Json::array({ outcome.index(), committed->revision });
    if (const auto *failed = std::get_if<ConditionFailed>(&outcome))
        return Json::array({ outcome.index(), toJson(failed->present) });
    return Json::array({ outcome.index() });
}

Json membersOf(const LeaseGranted &granted)
{
    return Json::array({ granted.lease });
}

Json membersOf(const LeaseKept &kept)
{
    return Json::array({ kept.kept });
}

template <typename Message>
std::string encodeMessage(const Message &message)
{
    const Json members =
        std::visit([](const auto &alternative) { return membersOf(alternative); }, message);
    const auto bytes = Json::to_cbor(Json::array({ message.index(), members }));
    return { bytes.begin(), bytes.end() };
}

/// Indices of the alternatives of StoreCall and StoreReply.
enum class Kind { Read, List, Watch, Commit, Grant, Keep };

StoreCall callOf(Kind kind, const Json &members)
{
    switch (kind) {
    case Kind::Read:
        return StoreReadCall{ keyOf(members.at(0)) };
    case Kind::List:
        return StoreListCall{ keyOf(members.at(0)), keyOf(members.at(1)) };
    case Kind::Watch:
        return StoreWatchCall{ keyOf(members.at(0)), numberOf(members.at(1)),
                               durationOf(members.at(2)) };
    case Kind::Commit:
        return StoreCommitCall{ transactionOf(members.at(0)) };
    case Kind::Grant:
        return StoreGrantCall{ durationOf(members.at(0)) };
    case Kind::Keep:
        break;
    }
    return StoreKeepCall{ numberOf(members.at(0)) };
}

StoreEvents eventsOf(const Json &members)
{
    StoreEvents events;
    for (const auto &row : members.at(0))
        events.events.push_back({ itemOf(row.at(0)), row.at(1) });
    events.asOf = numberOf(members.at(1));
    events.historyLost = members.at(2);
    return events;
}

TransactionOutcome outcomeOf(const Json &members)
{
    switch (numberOf(members.at(0))) {
    case 0:
        return Committed{ numberOf(members.at(1)) };
    case 1:
        return ConditionFailed{ itemsOf(members.at(1)) };
    case 2:
        return LeaseMissing{};
    default:
        throw std::out_of_range("unknown index of a transaction outcome");
    }
}

StoreReply replyOf(Kind kind, const Json &members)
{
    switch (kind) {
    case Kind::Read:
        return members.empty() ? std::nullopt : std::optional(itemOf(members.at(0)));
    case Kind::List:
        return StorePage{ itemsOf(members.at(0)), members.at(1), numberOf(members.at(2)) };
    case Kind::Watch:
        return eventsOf(members);
    case Kind::Commit:
        return outcomeOf(members);
    case Kind::Grant:
        return LeaseGranted{ numberOf(members.at(0)) };
    case Kind::Keep:
        break;
    }
    return LeaseKept{ members.at(0) };
}

template <typename Read>
auto decodeMessage(const std::string &bytes, const Read &read)
{
    const Json json = parseCbor(bytes);
    return readJson(json, [&read](const Json &message) {
        return read(enumOf(message.at(0), Kind::Keep), message.at(1));
    });
}

} // namespace

void perform(const StoreCall &call, StorePort &store, const Done<Result<StoreReply>> &done)
{
    std::visit(Performer{ store, done }, call);
}

Duration waitOf(const StoreCall &call) noexcept
{
    const auto *watch = std::get_if<StoreWatchCall>(&call);
    return watch == nullptr ? Duration::zero() : watch->wait;
}

bool isIdempotent(const StoreCall &call) noexcept
{
    return !std::holds_alternative<StoreCommitCall>(call);
}

std::string encode(const StoreCall &call)
{
    return encodeMessage(call);
}

std::string encode(const StoreReply &reply)
{
    return encodeMessage(reply);
}

std::optional<StoreCall> decodeStoreCall(const std::string &bytes)
{
    return decodeMessage(bytes, callOf);
}

std::optional<StoreReply> decodeStoreReply(const std::string &bytes)
{
    return decodeMessage(bytes, replyOf);
}

} // namespace cowsliprock::cell
