#include "relaymessages.h"

#include <base/readjson.h>

#include <stdexcept>
#include <type_traits>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// First element of a row.
enum class CallKind { Start, Stop, Inventory };
enum class ReplyKind { Accepted, Refused, Inventory, OrderFailed, InventoryFailed };

std::chrono::milliseconds millisecondsOf(const Json &json)
{
    return timeOf<std::chrono::milliseconds>(json);
}

TaskId taskOf(const Json &json)
{
    const auto task = parseTaskId(json.get<std::string>());
    if (!task)
        throw std::invalid_argument("malformed task ID");
    return *task;
}

Json row(CallKind kind, std::uint64_t call, const WorkerTarget &worker)
{
    return Json::array({ static_cast<int>(kind), call, worker.id, worker.address });
}

template <typename... T>
void append(Json &row, T &&...values)
{
    (row.push_back(std::forward<T>(values)), ...);
}

/// String table of the job texts of a batch, so that start orders of the same job share one entry.
class StringTable
{
public:
    std::size_t add(const std::string &text)
    {
        if (m_texts.empty() || m_texts.back() != text)
            m_texts.push_back(text);
        return m_texts.size() - 1;
    }
    [[nodiscard]] const std::vector<std::string> &all() const noexcept { return m_texts; }

private:
    std::vector<std::string> m_texts;
};

Json toRow(const RelayedStart &start, StringTable &texts)
{
    const auto &order = start.order;
    Json result = row(CallKind::Start, start.call, start.worker);
    append(result, toMilliseconds(start.options.timeout), order.task.text(), order.run,
           texts.add(order.spec), order.leaseUntil.count(), order.fencingToken, order.checkpoint,
           order.ticket);
    if (order.incarnation)
        result.push_back(*order.incarnation);
    return result;
}

Json toRow(const RelayedStop &stop, StringTable & /*texts*/)
{
    Json result = row(CallKind::Stop, stop.call, stop.worker);
    append(result, toMilliseconds(stop.options.timeout), stop.order.task.text(), stop.order.run,
           stop.order.fencingToken);
    return result;
}

Json toRow(const RelayedInventory &inventory, StringTable & /*texts*/)
{
    const auto &request = inventory.request;
    Json result = row(CallKind::Inventory, inventory.call, inventory.worker);
    append(result, toMilliseconds(request.timeout), request.fencingToken, request.acknowledged,
           toMilliseconds(request.wait));
    if (request.leaseUntil || request.incarnation)
        result.push_back(request.leaseUntil ? Json(request.leaseUntil->count()) : Json());
    if (request.incarnation)
        result.push_back(*request.incarnation);
    return result;
}

RelayedCall toCall(const Json &row, const std::vector<std::string> &texts)
{
    const auto call = integerOf<std::uint64_t>(row.at(1));
    const WorkerTarget worker{ row.at(2), row.at(3), {} };
    const Duration timeout = millisecondsOf(row.at(4));
    switch (enumOf(row.at(0), CallKind::Inventory)) {
    case CallKind::Start: {
        StartOrder order;
        order.task = taskOf(row.at(5));
        order.run = integerOf<std::uint32_t>(row.at(6));
        order.spec = texts.at(integerOf<std::size_t>(row.at(7)));
        order.leaseUntil = millisecondsOf(row.at(8));
        order.fencingToken = integerOf<std::uint64_t>(row.at(9));
        order.checkpoint = row.at(10);
        order.ticket = row.at(11);
        if (row.size() > 12)
            order.incarnation = integerOf<std::int64_t>(row.at(12));
        return RelayedStart{ call, worker, std::move(order), { timeout, false } };
    }
    case CallKind::Stop:
        return RelayedStop{ call,
                            worker,
                            { taskOf(row.at(5)), integerOf<std::uint32_t>(row.at(6)),
                              integerOf<std::uint64_t>(row.at(7)) },
                            { timeout, false } };
    case CallKind::Inventory:
        break;
    }
    InventoryRequest request;
    request.timeout = timeout;
    request.fencingToken = integerOf<std::uint64_t>(row.at(5));
    request.acknowledged = integerOf<std::uint64_t>(row.at(6));
    request.wait = millisecondsOf(row.at(7));
    if (row.size() > 8 && !row.at(8).is_null())
        request.leaseUntil = millisecondsOf(row.at(8));
    if (row.size() > 9)
        request.incarnation = integerOf<std::int64_t>(row.at(9));
    return RelayedInventory{ call, worker, request };
}

Json failureRow(ReplyKind kind, std::uint64_t call, const Error &error)
{
    return Json::array({ static_cast<int>(kind), call, static_cast<int>(error.kind), error.step,
                         error.peer, error.detail });
}

Json refusalRow(std::uint64_t call, bool ofInventory, const OrderRefused &refusal)
{
    return Json::array({ static_cast<int>(ReplyKind::Refused), call, ofInventory,
                         static_cast<int>(refusal.reason), refusal.clock.count() });
}

Json inventoryRow(std::uint64_t call, const Inventory &inventory)
{
    Json running = Json::array();
    for (const auto &task : inventory.running)
        running.push_back(
            Json::array({ task.task.text(), task.run, task.checkpoint, task.percent }));
    Json finished = Json::array();
    for (const auto &end : inventory.finished)
        finished.push_back(Json::array(
            { end.number, end.task.text(), end.run, static_cast<int>(end.kind), end.checkpoint }));
    return Json::array({ static_cast<int>(ReplyKind::Inventory), call, inventory.born,
                         inventory.clock.count(), std::move(running), std::move(finished),
                         inventory.moreFinished });
}

Json toRow(const OrderReply &reply)
{
    if (const auto *error = std::get_if<Error>(&reply.outcome))
        return failureRow(ReplyKind::OrderFailed, reply.call, *error);
    const auto &outcome = std::get<OrderOutcome>(reply.outcome);
    if (const auto *refusal = std::get_if<OrderRefused>(&outcome))
        return refusalRow(reply.call, false, *refusal);
    return Json::array({ static_cast<int>(ReplyKind::Accepted), reply.call,
                         std::get<OrderAccepted>(outcome).clock.count() });
}

Json toRow(const InventoryReply &reply)
{
    if (const auto *error = std::get_if<Error>(&reply.outcome))
        return failureRow(ReplyKind::InventoryFailed, reply.call, *error);
    const auto &outcome = std::get<InventoryOutcome>(reply.outcome);
    if (const auto *refusal = std::get_if<OrderRefused>(&outcome))
        return refusalRow(reply.call, true, *refusal);
    return inventoryRow(reply.call, std::get<Inventory>(outcome));
}

Error toError(const Json &row)
{
    return Error{ enumOf(row.at(2), ErrorKind::Internal), row.at(3), row.at(4), row.at(5) };
}

Inventory toInventory(const Json &row)
{
    Inventory inventory;
    inventory.born = integerOf<std::int64_t>(row.at(2));
    inventory.clock = millisecondsOf(row.at(3));
    for (const auto &task : row.at(4))
        inventory.running.push_back({ taskOf(task.at(0)), integerOf<std::uint32_t>(task.at(1)),
                                      task.at(2), integerOf<std::uint32_t>(task.at(3)) });
    for (const auto &end : row.at(5))
        inventory.finished.push_back({ integerOf<std::uint64_t>(end.at(0)), taskOf(end.at(1)),
                                       integerOf<std::uint32_t>(end.at(2)),
                                       enumOf(end.at(3), EndKind::Alone), end.at(4) });
    // Daemons of an earlier version do not send it.
    constexpr std::size_t moreFinishedColumn = 6;
    inventory.moreFinished =
        row.size() > moreFinishedColumn && row.at(moreFinishedColumn).get<bool>();
    return inventory;
}

RelayReply toReply(const Json &row)
{
    const auto call = integerOf<std::uint64_t>(row.at(1));
    switch (enumOf(row.at(0), ReplyKind::InventoryFailed)) {
    case ReplyKind::Accepted:
        return OrderReply{ call, OrderOutcome(OrderAccepted{ millisecondsOf(row.at(2)) }) };
    case ReplyKind::Refused: {
        const OrderRefused refusal{ enumOf(row.at(3), OrderRefusal::Malformed),
                                    millisecondsOf(row.at(4)) };
        if (row.at(2).get<bool>())
            return InventoryReply{ call, InventoryOutcome(refusal) };
        return OrderReply{ call, OrderOutcome(refusal) };
    }
    case ReplyKind::Inventory:
        return InventoryReply{ call, InventoryOutcome(toInventory(row)) };
    case ReplyKind::OrderFailed:
        return OrderReply{ call, toError(row) };
    case ReplyKind::InventoryFailed:
        break;
    }
    return InventoryReply{ call, toError(row) };
}

} // namespace

std::string encode(const RelayBatch &batch)
{
    StringTable texts;
    Json calls = Json::array();
    for (const auto &call : batch.calls)
        calls.push_back(
            std::visit([&texts](const auto &each) { return toRow(each, texts); }, call));
    Json json{ { "shard", batch.shard },
               { "revision", batch.ownershipRevision },
               { "texts", texts.all() },
               { "calls", std::move(calls) } };
    if (batch.clock)
        json["clock"] = batch.clock->count();
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encode(const RelayAnswer &answer)
{
    Json rows = Json::array();
    for (const auto &reply : answer.replies)
        rows.push_back(std::visit([](const auto &each) { return toRow(each); }, reply));
    const Json json{ { "clock", answer.clock.count() },
                     { "stale", answer.stale },
                     { "replies", std::move(rows) } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<RelayBatch> decodeRelayBatch(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        RelayBatch batch;
        batch.shard = integerOf<std::uint32_t>(json.at("shard"));
        batch.ownershipRevision = integerOf<std::uint64_t>(json.at("revision"));
        if (const auto clock = json.find("clock"); clock != json.end())
            batch.clock = millisecondsOf(*clock);
        const auto texts = json.at("texts").get<std::vector<std::string>>();
        for (const auto &row : json.at("calls"))
            batch.calls.push_back(toCall(row, texts));
        return batch;
    });
}

std::optional<RelayAnswer> decodeRelayAnswer(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        RelayAnswer answer;
        answer.clock = millisecondsOf(json.at("clock"));
        answer.stale = json.at("stale");
        for (const auto &row : json.at("replies"))
            answer.replies.push_back(toReply(row));
        return answer;
    });
}

} // namespace cowsliprock::cell
