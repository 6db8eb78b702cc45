#include <standincellhttp/workerserver.h>

#include "wire.h"

#include <calls.h>

#include <eventloop/eventloop.h>

#include <utility>
#include <variant>

namespace cowsliprock::standincell {

using namespace cell;
using namespace platform;

namespace {

constexpr std::chrono::milliseconds minDelay{ 400 };
constexpr std::chrono::milliseconds maxDelay{ 3000 };

const char *toText(OrderRefusal reason) noexcept
{
    switch (reason) {
    case OrderRefusal::Fenced:
        return "fence";
    case OrderRefusal::OldRun:
        return "old";
    case OrderRefusal::Late:
        return "late";
    case OrderRefusal::NoRoom:
        return "room";
    case OrderRefusal::BadTicket:
        return "ticket";
    case OrderRefusal::OtherLife:
    case OrderRefusal::Unhealthy:
    case OrderRefusal::Malformed:
        break;
    }
    return "other";
}

HttpServerResponse toReply(const OrderOutcome &outcome)
{
    if (const auto *accepted = std::get_if<OrderAccepted>(&outcome))
        return reply(statusOk, { { "clock_ms", accepted->clock.count() } });
    const auto &refused = std::get<OrderRefused>(outcome);
    return reply(statusConflict,
                 { { "clock_ms", refused.clock.count() }, { "reason", toText(refused.reason) } });
}

StartOrder toStartOrder(const Json &json)
{
    StartOrder order;
    order.task = parseTaskId(json.at("task").get<std::string>()).value_or(TaskId());
    order.run = json.at("run");
    order.spec = json.value("spec", "");
    order.leaseUntil = std::chrono::milliseconds(json.value("deadline_ms", std::int64_t{ 0 }));
    order.fencingToken = json.value("fencing_token", std::uint64_t{ 0 });
    order.checkpoint = json.value("checkpoint", "");
    order.ticket = json.value("ticket", "");
    return order;
}

InventoryRequest toInventoryRequest(const Json &json)
{
    InventoryRequest request;
    request.fencingToken = json.value("fencing_token", std::uint64_t{ 0 });
    request.acknowledged = json.value("last_seen", std::uint64_t{ 0 });
    if (const auto until = json.find("deadline_ms"); until != json.end())
        request.leaseUntil = std::chrono::milliseconds(until->get<std::int64_t>());
    request.wait = std::chrono::milliseconds(json.value("wait_ms", std::int64_t{ 0 }));
    return request;
}

} // namespace

WorkerServer::WorkerServer(EventLoop &loop, WorkerModel &worker, std::uint32_t seed,
                           TicketCheck ticketValid)
    : m_loop(loop)
    , m_worker(worker)
    , m_random(seed)
    , m_ticketValid(std::move(ticketValid))
    , m_server(loop, [this](const HttpRequest &request, const Respond &respond) {
        handle(request, respond);
    })
{ }

Result<SocketAddress> WorkerServer::listen(const SocketAddress &address)
{
    return m_server.listen(address, {});
}

void WorkerServer::handle(const HttpRequest &request, const Respond &respond)
{
    ++m_calls[request.target];
    const Respond discardReply = [](const HttpServerResponse &) {};
    switch (m_fault) {
    case WorkerFault::Healthy:
        execute(request, respond);
        return;
    case WorkerFault::Refuse:
        respond(reply(statusUnavailable));
        return;
    case WorkerFault::Silent:
        m_unanswered.push_back(respond);
        return;
    case WorkerFault::LoseAnswer:
        m_unanswered.push_back(respond);
        execute(request, discardReply);
        return;
    case WorkerFault::Late: {
        m_unanswered.push_back(respond);
        std::uniform_int_distribution<std::int64_t> pick(minDelay.count(), maxDelay.count());
        m_loop.after(std::chrono::milliseconds(pick(m_random)),
                     [this, request, discardReply] { execute(request, discardReply); });
        return;
    }
    }
}

void WorkerServer::execute(const HttpRequest &request, const Respond &respond)
{
    if (request.header("Expect-Instance").value_or(m_worker.id()) != m_worker.id()) {
        respond(reply(statusMisdirectedRequest));
        return;
    }
    try {
        if (request.target == "/v1/run-start")
            start(request, respond);
        else if (request.target == "/v1/run-stop")
            stop(request, respond);
        else if (request.target == "/v1/hold")
            inventory(request, respond);
        else
            respond(reply(statusNotFound));
    } catch (const Json::exception &) {
        respond(reply(statusBadRequest));
    }
}

void WorkerServer::start(const HttpRequest &request, const Respond &respond)
{
    const auto order = toStartOrder(Json::parse(request.body));
    if (!m_ticketValid(order.task.stepText(), order.ticket)) {
        respond(toReply(OrderRefused{ OrderRefusal::BadTicket, m_worker.clock() }));
        return;
    }
    respond(toReply(m_worker.start(order)));
}

void WorkerServer::stop(const HttpRequest &request, const Respond &respond)
{
    const Json json = Json::parse(request.body);
    const auto task = parseTaskId(json.at("task").get<std::string>()).value_or(TaskId());
    respond(toReply(
        m_worker.stop(task, json.at("run"), json.value("fencing_token", std::uint64_t{ 0 }))));
}

void WorkerServer::inventory(const HttpRequest &request, const Respond &respond)
{
    m_worker.inventory(toInventoryRequest(Json::parse(request.body)),
                       [respond](const InventoryOutcome &outcome) {
                           if (const auto *listed = std::get_if<Inventory>(&outcome))
                               respond(reply(statusOk, toJson(*listed)));
                           else
                               respond(toReply(std::get<OrderRefused>(outcome)));
                       });
}

} // namespace cowsliprock::standincell
